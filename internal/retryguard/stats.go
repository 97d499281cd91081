package retryguard

// Stats counts what a guard did since its start.
type Stats struct {
	Storms, CustomerStorms                        int // that began: of all traffic, of one customer
	Rejected, AppointmentsKept, AppointmentsEarly int
	Appointments, NoAppointment                   int   // that were made, that could not be made
	Hopeless                                      int   // requests with too little time left for an answer
	FirstStormAt                                  int64 // when the first retry storm began, 0 for none yet
	ClockJumps                                    int   // times that the clock was set back
	FirstTries, Retries, KnownRetries             int   // requests; KnownRetries are the retries known by their fingerprint
}
