package endpoint

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

func newTestTable() *Table {
	return NewTable("a1", Location{Zone: "a", Region: "r"}, map[string]string{"a": "r", "b": "r"})
}

// Routers lend to those that are short, unless more than half of a zone's are: then nobody has anything to lend.
func TestBorrowedWeights(t *testing.T) {
	for short, want := range map[int]int{0: 1, 1: BorrowedWeight, 2: BorrowedWeight, 3: 1, 4: 1} {
		c := qt.New(t)
		table := newTestTable()
		for i := range 4 {
			for _, z := range []string{"a", "b"} {
				table.Apply([]update.Change{{Proxy: &update.Proxy{Name: fmt.Sprint(z, i), Zone: z, Ready: true, RegisteredAt: 1, LacksCapacity: z == "a" && i < short}}}, false)
			}
		}
		_, _, list, counted := table.ProxyRank()
		c.Check(counted, qt.IsTrue)
		c.Check(list["a"][0].Weight, qt.Equals, want, qt.Commentf("%d short", short))
		c.Check(list["a"][3].Weight, qt.Equals, 1)
		c.Check(list["b"][0].Weight, qt.Equals, 1)
	}
}

// An ejected host gets nothing until its time is over, then comes back, and is forgotten once it is back; an older
// judgement changes nothing.
func TestEjectedHosts(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	table.Apply([]update.Change{{Instance: &instance.Instance{ID: "h", Service: "desk", Zone: "a", Sequence: 1}}}, false)
	health := func() decision.Health { return table.Hosts("desk")[0].Health }
	c.Check(health(), qt.Equals, decision.Ready)
	changes := table.Apply([]update.Change{{Ejection: &outlier.Ejection{ID: "h", Service: "desk", EjectedUntil: 100e9, ProbationUntil: 150e9}}}, false)
	c.Check(changes.Services["desk"], qt.IsTrue)
	c.Check(health(), qt.Equals, decision.Draining)
	c.Check(table.EndEjections(99e9), qt.HasLen, 0)
	table.Apply([]update.Change{{Ejection: &outlier.Ejection{ID: "h", Service: "desk", EjectedUntil: 90e9, ProbationUntil: 95e9}}}, false)
	c.Check(health(), qt.Equals, decision.Draining)
	changes = table.Apply([]update.Change{{Ejection: &outlier.Ejection{ID: "h", Service: "desk", EjectedUntil: 100.1e9, ProbationUntil: 150.1e9}}}, false) // the same by another way
	c.Check(changes.Services, qt.HasLen, 0)
	c.Check(table.EndEjections(100e9)["desk"], qt.IsTrue)
	c.Check(table.EndEjections(101e9), qt.HasLen, 0)
	c.Check(health(), qt.Equals, decision.Ready)
	table.Apply([]update.Change{{Ejection: &outlier.Ejection{ID: "h", Service: "desk", EjectedUntil: 300e9, ProbationUntil: 350e9}}}, false)
	c.Check(health(), qt.Equals, decision.Draining)
	table.EndEjections(400e9)
	c.Check(health(), qt.Equals, decision.Ready)
	c.Check(table.Ejections, qt.HasLen, 0)
}

// tableWithHosts is a board that knows so many hosts of a hundred services.
func tableWithHosts(hosts int) *Table {
	table := newTestTable()
	for n := range hosts {
		table.Apply([]update.Change{{Instance: &instance.Instance{ID: fmt.Sprintf("h%05d", n), Service: fmt.Sprint("s", min(n/20, 99)), Zone: "a", Sequence: 1}}}, false)
	}
	return table
}

// What a change of one host costs follows the hosts of its service, and not all hosts: a router that knew 4,200 sorted all of
// them at each change, and 220 times after a snapshot.
func TestHostsCostIsPerService(t *testing.T) {
	c := qt.New(t)
	bytes := func(table *Table) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 20 {
			table.Hosts("s3")
			table.InstancesOf("s3")
			table.ForgetGone("s3")
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / 20
	}
	few, all := bytes(tableWithHosts(100)), bytes(tableWithHosts(2000))
	t.Logf("bytes: %d at 100 hosts, %d at 2,000", few, all)
	c.Check(all < few*2, qt.IsTrue)
}

// The hosts of a service are those that were announced last, whatever came between: one that ended goes once the decision engine knows, and one
// that is announced under another service is that one's.
func TestHostsOfService(t *testing.T) {
	c := qt.New(t)
	table := tableWithHosts(60)
	c.Check(table.Hosts("s1"), qt.HasLen, 20)
	table.Apply([]update.Change{{Instance: &instance.Instance{ID: "h00020", Sequence: 2, State: instance.Gone}}}, false) // as a leave tells it
	c.Check(table.Hosts("s1"), qt.HasLen, 20)
	c.Check(table.Hosts("s1")[0].Health, qt.Equals, decision.Gone)
	table.ForgetGone("s1")
	c.Check(table.Hosts("s1"), qt.HasLen, 19)
	c.Check(table.InstancesOf("s1"), qt.HasLen, 19)
	table.Apply([]update.Change{{Instance: &instance.Instance{ID: "h00021", Service: "s2", Zone: "a", Sequence: 2}}}, false)
	c.Check(table.Hosts("s1"), qt.HasLen, 18)
	c.Check(table.Hosts("s2"), qt.HasLen, 21)
	table.Apply([]update.Change{{Instance: &instance.Instance{ID: "h00022", Service: "s1", Zone: "a", Sequence: 1}}}, true)
	missing := 0
	for _, h := range table.Hosts("s1") {
		if h.Health == decision.Draining {
			missing++
		}
	}
	c.Check(missing, qt.Equals, 17) // all that the snapshot doesn't name
	c.Check(table.Instances, qt.HasLen, 59)
}

// A proxy that is announced anew, and as it was, changes no list; one that comes, goes, is ready, is short or moves does.
func TestProxyAnnouncedAgain(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	proxy := update.Proxy{Name: "b1", Zone: "b", Ready: true, RegisteredAt: 5, Owner: "m1"}
	listChanged := func(change func()) bool {
		change()
		proxy.Revision++
		x := proxy
		return table.Apply([]update.Change{{Proxy: &x}}, false).Proxies
	}
	c.Check(listChanged(func() {}), qt.IsTrue)
	c.Check(listChanged(func() {}), qt.IsFalse)
	c.Check(listChanged(func() { proxy.Owner = "m2" }), qt.IsFalse)
	c.Check(listChanged(func() { proxy.LacksCapacity = true }), qt.IsTrue)
	c.Check(listChanged(func() { proxy.Ready = false }), qt.IsTrue)
	c.Check(listChanged(func() { proxy.Ready, proxy.Zone = true, "a" }), qt.IsTrue)
	c.Check(listChanged(func() { proxy.Gone = true }), qt.IsTrue)
	c.Check(listChanged(func() { proxy.RegisteredAt, proxy.Revision, proxy.Gone = 9, 0, false }), qt.IsTrue)
	rank, count, _, counted := table.ProxyRank()
	c.Check([]any{rank, count, counted}, qt.DeepEquals, []any{1, 2, false})
}
