// Command simhost runs decision engines for the simulator, one per instance. It reads batches of events from standard input and
// writes replies to standard output. Instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"portflow/internal/decision"
	"portflow/internal/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers each batch with one reply. It returns nil if the input ends between two batches.
func serve(in io.Reader, out io.Writer) error {
	buffered := bufio.NewReaderSize(in, 1<<16)
	engines := map[uint32]*decision.Engine{}
	var lists [16][]decision.Host
	var reply simwire.Reply
	for {
		batch, err := simwire.ReadBatch(buffered)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for i, event := range batch.Events {
			if err := applyEvent(engines, &lists, &reply, batch.Clock, event); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}

func applyEvent(engines map[uint32]*decision.Engine, lists *[16][]decision.Host, reply *simwire.Reply, now int64,
	event simwire.Event) error {
	switch body := event.Body.(type) {
	case simwire.HostList:
		lists[body.Number] = body.Hosts
		return nil
	case simwire.Provision:
		engines[event.Instance] = decision.New(body.Settings, body.Seed, now, simwire.Effects{Instance: event.Instance, Reply: reply})
		return nil
	case simwire.Exit:
		delete(engines, event.Instance)
		return nil
	}
	engine := engines[event.Instance]
	if engine == nil {
		return nil // the event was on its way when the instance exited
	}
	switch body := event.Body.(type) {
	case simwire.HostsChanged:
		if body.Kind == decision.FetchFailed {
			engine.HostsChanged(now, body.Kind, nil)
		} else if body.Number >= len(lists) {
			return fmt.Errorf("PeersKnown: list %d does not exist", body.Number)
		} else {
			engine.HostsChanged(now, body.Kind, lists[body.Number])
		}
	case simwire.RequestReceived:
		engine.RequestReceived(now, body.Request)
	case simwire.AttemptEnded:
		engine.AttemptEnded(now, body.RequestID, body.Number, body.Result, body.Done, body.Took, body.Report)
	case simwire.StreamStarted:
		engine.StreamStarted(now, body.RequestID, body.Number)
	case simwire.ClientGone:
		engine.ClientGone(now, body.RequestID)
	case simwire.RolloutChanged:
		engine.RolloutChanged(now, body.Rollout)
	case simwire.AnswerFlagged:
		engine.AnswerFlagged(now, body.Host, body.Class, body.Age)
	case simwire.GossipReceived:
		engine.GossipReceived(now, body.From, body.Message)
	case simwire.ProbeDone, simwire.Metrics: // probes are never requested and metrics are not used, see docs/design.md
	case simwire.TimerFired:
		engine.TimerFired(now, body.ID)
	}
	return nil
}
