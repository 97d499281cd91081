package lab

import (
	"fmt"

	"portflow/internal/random"
	"portflow/internal/standin"
)

// command is a client's command; attempt is one attempt to have it served.
type command struct {
	class, carrier int
	key            uint64
	idempotencyKey string
	behaviour      standin.ClientBehaviour
	firstSentAt    int64
	attempts       int
	served         bool // within the timeout of its class, counted from the first attempt
}

// drawWork draws the service time of an attempt, in nanoseconds.
func (c *command) drawWork(rng *random.Source) int64 {
	requestClass := requestClasses[c.class]
	return requestClass.minWork + int64(rng.Float64()*float64(requestClass.maxWork-requestClass.minWork))
}

// newCommand draws a client's next command. In an outage of kind carrier, commands of the affected carrier use five keys, and their
// clients time out early and retry at once.
func (exp StormExperiment) newCommand(now int64, client int, rng *random.Source) *command {
	cmd := &command{class: 1}
	if rng.Float64() < requestClasses[0].share {
		cmd.class = 0
	}
	position := float64(client%1000) / 1000 // assigns each client to one carrier
	for position >= carrierShares[cmd.carrier] && cmd.carrier < len(carrierShares)-1 {
		position -= carrierShares[cmd.carrier]
		cmd.carrier++
	}
	cmd.key = 1 + uint64(client)
	cmd.behaviour = standin.DrawBehaviour(exp.HeedFraction, exp.MarkRetries, rng.Float64(), rng.Float64(), rng.Float64(), rng.Float64())
	if exp.Kind == "carrier" && cmd.carrier == exp.Carrier && now >= int64(exp.Warmup) && now < int64(exp.Warmup+exp.Outage) {
		cmd.key = 1 + uint64(client%5)
		cmd.behaviour = standin.ClientBehaviour{Retries: 3, Patience: 0.04, HonoursRetryAfter: cmd.behaviour.HonoursRetryAfter, EarlyFactor: 1, SendsIdempotencyKey: exp.MarkRetries}
	}
	if cmd.class == 1 {
		cmd.idempotencyKey = fmt.Sprintf("m%d-%d-%d", exp.Seed, client, now)
	}
	return cmd
}
