package retryguard

// Stats counts what a guard did since its start.
type Stats struct {
	Storms, CustomerStorms                   int // that began: of all traffic, of one customer
	Rejected, ScheduledRetries, EarlyRetries int
	Appointments, AppointmentsUnavailable    int   // that were made, that could not be made
	InsufficientTime                         int   // requests with too little time left for an answer
	FirstStormAt                             int64 // when the first retry storm began, 0 for none yet
	ClockJumps                               int   // times that the clock was set back
	FirstTries, Retries, FingerprintMatches  int   // requests; KnownRetries are the retries known by their fingerprint
}
