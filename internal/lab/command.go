package lab

import (
	"fmt"

	"portflow/internal/random"
	"portflow/internal/standin"
)

// command is a client's command, with all its attempts.
type command struct {
	band, carrier  int
	key            uint64
	idempotencyKey string
	behaviour      standin.ClientBehaviour
	firstSentAt    int64
	attempts       int
	served         bool // within its contract time
}

func (c *command) drawWork(d *random.Source) int64 {
	b := experimentBands[c.band]
	return b.least + int64(d.Float64()*float64(b.top-b.least))
}

// newCommand draws a new command of a client.
func (x StormExperiment) newCommand(now int64, client int, rng *random.Source) *command {
	cmd := &command{band: 1}
	if rng.Float64() < experimentBands[0].share {
		cmd.band = 0
	}
	position := float64(client%1000) / 1000 // a client is always of one carrier
	for position >= carrierShares[cmd.carrier] && cmd.carrier < len(carrierShares)-1 {
		position -= carrierShares[cmd.carrier]
		cmd.carrier++
	}
	cmd.key = 1 + uint64(client)
	cmd.behaviour = standin.DrawBehaviour(x.HeedFraction, x.MarkRetries, rng.Float64(), rng.Float64(), rng.Float64(), rng.Float64())
	if x.Kind == "carrier" && cmd.carrier == x.Carrier && now >= int64(x.Warmup) && now < int64(x.Warmup+x.Outage) {
		cmd.key = 1 + uint64(client%5)                                                                                                                                              // a few keys
		cmd.behaviour = standin.ClientBehaviour{Retries: 3, Patience: 0.04, HonoursRetryAfter: cmd.behaviour.HonoursRetryAfter, EarlyFactor: 1, SendsIdempotencyKey: x.MarkRetries} // given up soon, and asked again at once
	}
	if cmd.band == 1 {
		cmd.idempotencyKey = fmt.Sprintf("m%d-%d-%d", x.Seed, client, now)
	}
	return cmd
}
