package trial

import "time"

// Options configure a trial.
type Options struct {
	Program string        // path of the deployed program
	Former  string        // path of the program of another release; if set, each start of a process runs either of the two
	Lasts   time.Duration // duration of the load, without the restarts at the end
	Seed    uint64
	Clients int
	Kills   int // number of SIGHUP, SIGTERM and SIGKILL that are sent during the load
	Series  int // number of signal series, which overlap, during the load
	Drops   int // number of names that are added and dropped before the load
	Block   int // block of loopback addresses, from 0 to MaxBlock; trials that run at the same time need different ones

	ProxiesPerZone int          // three zones
	Restarts       int          // number of times that all control processes are killed together after the load
	Procs          int          // GOMAXPROCS of the processes; 0 leaves it unset
	Requests       int          // clients stop at about this number of requests
	Dir            string       // directory for logs and data, created if missing; a temporary one if empty
	Keep           bool         // don't remove the control processes' data
	Progress       func(string) // called with a description of each step, on the goroutine of Run; may be nil
}

// Defaults returns the options of a short trial.
func Defaults() Options {
	return Options{
		Program:  "target/portflowd",
		Lasts:    18 * time.Second,
		Seed:     1,
		Clients:  120,
		Kills:    12,
		Restarts: 2,
		Requests: 1_000_000,

		ProxiesPerZone: 3,
	}
}
