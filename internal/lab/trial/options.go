package trial

import "time"

// Options are how a trial runs.
type Options struct {
	Program  string        // the deployed program
	Lasts    time.Duration // of the load; the restarts at the end come on top
	Seed     uint64
	Clients  int
	Kills    int          // processes that are sent a signal
	Restarts int          // times that all control processes are killed at once at the end
	Procs    int          // GOMAXPROCS of the processes, 0 for all
	Requests int          // the most that are sent
	Dir      string       // for logs and data, made where it is missing; empty for a temporary one
	Keep     bool         // keep the control processes' data
	Progress func(string) // is called with what the trial does now; may be nil
}

// Defaults are the options of the short form.
func Defaults() Options {
	return Options{
		Program:  "target/portflowd",
		Lasts:    18 * time.Second,
		Seed:     1,
		Clients:  120,
		Kills:    12,
		Restarts: 2,
		Requests: 1_000_000,
	}
}
