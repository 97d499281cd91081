// Command wirehost runs routers on the simulator's wire: one router an instance, nothing shared between them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"portflow/internal/balancer/wire"
	"portflow/rules"
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
	routers := map[uint32]*rules.Router{}
	var lists [16][]rules.Listed
	var reply wire.Reply
	for {
		b, err := wire.ReadBatch(r)
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

func play(routers map[uint32]*rules.Router, lists *[16][]rules.Listed, reply *wire.Reply, now int64,
	e wire.Event) error {
	switch x := e.Body.(type) {
	case wire.Ledger:
		lists[x.Number] = x.Hosts
		return nil
	case wire.Provision:
		routers[e.Instance] = rules.New(x.Settings, x.Seed, now, wire.Out{Instance: e.Instance, Reply: reply})
		return nil
	case wire.Exit:
		delete(routers, e.Instance)
		return nil
	}
	r := routers[e.Instance]
	if r == nil {
		return nil // a late event for an instance that was killed
	}
	switch x := e.Body.(type) {
	case wire.PeersKnown:
		if x.Form == rules.CallFailed {
			r.List(now, x.Form, nil)
		} else if x.Number >= len(lists) {
			return fmt.Errorf("PeersKnown: no list %d", x.Number)
		} else {
			r.List(now, x.Form, lists[x.Number])
		}
	case wire.Incoming:
		r.Take(now, x.Command)
	case wire.Finished:
		r.Ended(now, x.Command, x.Number, x.Ending, x.Over, x.Took, x.Report)
	case wire.First:
		r.Begun(now, x.Command, x.Number)
	case wire.Dropped:
		r.Left(now, x.Command)
	case wire.TrialNews:
		r.Hear(now, x.News)
	case wire.ReportedWrong:
		r.Flagged(now, x.Host, x.Band, x.Age)
	case wire.FromPeer:
		r.Heard(now, x.From, x.Raw)
	case wire.ProbeDone, wire.Metrics: // not asked for, not used: see docs/design.md
	case wire.Reminder:
		r.Woken(now, x.Mark)
	}
	return nil
}
