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
	r := bufio.NewReaderSize(in, 1<<16)
	routers := map[uint32]*decision.Router{}
	var lists [16][]decision.Listed
	var reply simwire.Reply
	for {
		b, err := simwire.ReadBatch(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for i, e := range b.Events {
			if err := play(routers, &lists, &reply, b.Clock, e); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}

func play(routers map[uint32]*decision.Router, lists *[16][]decision.Listed, reply *simwire.Reply, now int64,
	e simwire.Event) error {
	switch x := e.Body.(type) {
	case simwire.Ledger:
		lists[x.Number] = x.Hosts
		return nil
	case simwire.Provision:
		routers[e.Instance] = decision.New(x.Settings, x.Seed, now, simwire.Out{Instance: e.Instance, Reply: reply})
		return nil
	case simwire.Exit:
		delete(routers, e.Instance)
		return nil
	}
	r := routers[e.Instance]
	if r == nil {
		return nil // a late event for an instance that was killed
	}
	switch x := e.Body.(type) {
	case simwire.PeersKnown:
		if x.Form == decision.CallFailed {
			r.List(now, x.Form, nil)
		} else if x.Number >= len(lists) {
			return fmt.Errorf("PeersKnown: no list %d", x.Number)
		} else {
			r.List(now, x.Form, lists[x.Number])
		}
	case simwire.Incoming:
		r.Take(now, x.Command)
	case simwire.Finished:
		r.Ended(now, x.Command, x.Number, x.Ending, x.Over, x.Took, x.Report)
	case simwire.First:
		r.Begun(now, x.Command, x.Number)
	case simwire.Dropped:
		r.Left(now, x.Command)
	case simwire.TrialNews:
		r.Hear(now, x.News)
	case simwire.ReportedWrong:
		r.Flagged(now, x.Host, x.Band, x.Age)
	case simwire.FromPeer:
		r.Heard(now, x.From, x.Raw)
	case simwire.ProbeDone, simwire.Metrics: // not asked for, not used: see docs/design.md
	case simwire.Reminder:
		r.Woken(now, x.Mark)
	}
	return nil
}
