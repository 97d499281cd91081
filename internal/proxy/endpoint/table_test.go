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

// Proxies that are short of capacity borrow, unless more than half of their zone's proxies are short.
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

// An ejected host must get no requests until its ejection ends, and its ejection is removed once probation ends. An older ejection must
// change nothing.
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
	changes = table.Apply([]update.Change{{Ejection: &outlier.Ejection{ID: "h", Service: "desk", EjectedUntil: 100.1e9, ProbationUntil: 150.1e9}}}, false) // the same ejection, received from another control process
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

// tableWithHosts returns a table with this many hosts: 20 for each of up to 99 services, and the rest for one more.
func tableWithHosts(hosts int) *Table {
	table := newTestTable()
	for n := range hosts {
		table.Apply([]update.Change{{Instance: &instance.Instance{ID: fmt.Sprintf("h%05d", n), Service: fmt.Sprint("s", min(n/20, 99)), Zone: "a", Sequence: 1}}}, false)
	}
	return table
}

// The cost of a change of one host must depend on the number of hosts of its service, not of all hosts.
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
	t.Logf("bytes allocated: %d with 100 hosts, %d with 2,000", few, all)
	c.Check(all < few*2, qt.IsTrue)
}

// The hosts of a service must follow the announcements: a host that is gone is removed by ForgetGone, and one that is announced for another
// service moves there.
func TestHostsOfService(t *testing.T) {
	c := qt.New(t)
	table := tableWithHosts(60)
	c.Check(table.Hosts("s1"), qt.HasLen, 20)
	table.Apply([]update.Change{{Instance: &instance.Instance{ID: "h00020", Sequence: 2, State: instance.Gone}}}, false) // without a service, as when a host deregisters
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

// A proxy that is announced again must change the proxy list only if it is added or removed, or its readiness, shortage or zone changes.
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
