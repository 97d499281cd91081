package retryguard

// Stats has the counters of a guard since its creation.
type Stats struct {
	Storms, CustomerStorms                  int   // retry storms that began, in all traffic and of single customers
	Rejected, OnTimeRetries, EarlyRetries   int   // requests rejected by Admit; retries that honored their wait, or did not
	Appointments, AppointmentsUnavailable   int   // appointments made; not made because no slot had capacity left
	InsufficientTime                        int   // requests rejected because too little time remained to answer them
	FirstStormAt                            int64 // start of the first retry storm, 0 if there was none
	ClockJumps                              int   // times the clock was set back
	FirstTries, Retries, FingerprintMatches int   // requests passed to Admit, by kind; those with a known fingerprint
}
