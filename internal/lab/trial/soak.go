package trial

import (
	"math/rand/v2"
	"time"
)

// Bounds of the options that ForSeed draws.
const (
	minSoakLoad    = 15 * time.Second
	maxSoakLoad    = 30 * time.Second
	seriesPerSec   = 1 // on average
	minSoakClients = 60
	maxSoakClients = 180
	soakDrops      = 10_400 // names, more than a control process once remembered
	maxSoakProcs   = 3      // GOMAXPROCS of the processes

	// A crowd has many proxies, which share the processors: its series are more, and its clients as many as the proxies bear.
	crowdClients = 120
	crowdProcs   = 1
)

// optionStream is the stream number of the random source of ForSeed.
const optionStream = 7

// ForSeed returns the options of one run of a soak: the seed decides its length, the number of clients, the signal series, whether many
// names were dropped before, and how many processors a process uses. If crowd is not 0, the run has that many proxies in each zone.
func (o Options) ForSeed(seed uint64, crowd int) Options {
	draw := rand.New(rand.NewPCG(seed, optionStream))
	o.Seed = seed
	o.Kills = 0
	o.Lasts = minSoakLoad + time.Duration(draw.Int64N(int64(maxSoakLoad-minSoakLoad)))
	o.Clients = minSoakClients + draw.IntN(maxSoakClients-minSoakClients)
	o.Series = seriesPerSec * int(o.Lasts/time.Second) / 2 * (1 + draw.IntN(3))
	o.Drops = soakDrops * draw.IntN(2)
	o.Restarts = draw.IntN(3)
	o.Procs = draw.IntN(maxSoakProcs + 1)
	if crowd > 0 {
		o.ProxiesPerZone = crowd
		o.Clients = crowdClients
		o.Procs = crowdProcs
	}
	return o
}
