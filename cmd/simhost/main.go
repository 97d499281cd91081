// Command wirehost runs routers on the simulator's wire: one router an instance, nothing shared between them.
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

// serve answers each batch with one reply until the input ends.
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
		return nil // a late event for an instance that was killed
	}
	switch body := event.Body.(type) {
	case simwire.HostsChanged:
		if body.Kind == decision.FetchFailed {
			engine.HostsChanged(now, body.Kind, nil)
		} else if body.Number >= len(lists) {
			return fmt.Errorf("PeersKnown: no list %d", body.Number)
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
	case simwire.ProbeDone, simwire.Metrics: // not asked for, not used: see docs/design.md
	case simwire.TimerFired:
		engine.TimerFired(now, body.ID)
	}
	return nil
}
