package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/store"
	"portflow/internal/random"
)

// After a write that failed at any step, later writes must succeed, and acknowledged writes must survive a restart or a loss of power
// even if the failed write is not repeated. Use -args -seeds 60 to run more seeds.
func TestStoreReopensAfterWriteFailure(t *testing.T) {
	for _, kind := range []string{"write", "sync", "create", "meta", "remove", ""} {
		for seed := range uint64(*randomRuns) {
			synctest.Test(t, func(t *testing.T) { playWriteFailure(qt.New(t), kind, seed) }) // the store waits between attempts
		}
	}
}

// playWriteFailure makes random writes on a disk on which operations of one kind fail from time to time.
func playWriteFailure(c *qt.C, kind string, seed uint64) {
	rng := random.Source{Seed: seed*31 + uint64(len(kind))}
	n := func(n int) int { return int(rng.Float64() * float64(n)) }
	d := NewDisk()
	f := &faultyStorage{Storage: d.Open(), kind: kind}
	st, _, _, _, err := store.Open(f)
	c.Assert(err, qt.IsNil)
	c.Assert(st.Write(nil, nil, true), qt.IsNil)
	want := map[string]uint64{}
	for version := uint64(1); version < 120; version++ {
		if n(10) == 0 {
			f.failNext(1 + n(6))
		}
		name := fmt.Sprint("r", n(30))
		i := testItem(name, version)
		if n(4) == 0 { // large enough that the store begins new files
			i.Body, _ = json.Marshal(map[string]string{"x": string(make([]byte, 30<<10))})
		}
		if n(3) == 0 {
			if err = st.Replace(nil, []config.Key{i.Key()}, nil, false); err == nil {
				delete(want, name)
			}
		} else if err = st.Write([]config.Item{i}, nil, false); err == nil {
			want[name] = version
		}
	}
	f.failNext(0)
	c.Assert(st.Write([]config.Item{testItem("last", 999)}, nil, false), qt.IsNil, qt.Commentf("%s, seed %d", kind, seed))
	want["last"] = 999
	disk := copyDisk(d) // the disk as a loss of power would leave it now
	disk.PowerLoss(true)
	c.Assert(st.Close(), qt.IsNil)
	c.Check(f.opened(0) <= 2, qt.IsTrue, qt.Commentf("%s, seed %d: got %d open files after %d failed operations, want at most 2", kind, seed, f.opened(0), f.failures))
	if n(2) == 0 {
		disk = d
	}
	again, items, _, complete, err := store.Open(disk.Open())
	c.Assert(err, qt.IsNil)
	got := map[string]uint64{}
	for _, i := range items {
		got[i.Name] = i.Version
	}
	c.Assert(maps.Equal(got, want), qt.IsTrue, qt.Commentf("%s, seed %d, %d failed operations, complete %v: got %v, want %v", kind, seed, f.failures, complete, got, want))
	c.Assert(complete, qt.IsTrue)
	again.Close()
	time.Sleep(2 * time.Second) // until the store's goroutines have ended
}

// A process whose disk failed for a while must store changes again without a restart: after the loss of a region, the quorum depends
// on it.
func TestWriteFailureThenRegionLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 6, 1, 1
		cluster := startCluster(c, layout)
		change := func(version string, first int) int {
			r := safeRoute
			r.Version, r.Prefix = version, "/look-"+version+"/"
			status, _, _ := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, r), 6*time.Second, first)
			return status
		}
		failing := cluster.Controls[0]
		failing.Disk.SetFaults(5*time.Millisecond, true)
		c.Check(change("00000002", 1), qt.Equals, 200) // the other five processes form a quorum
		time.Sleep(2 * time.Second)
		failing.Disk.SetFaults(5*time.Millisecond, false)
		time.Sleep(3 * time.Second)
		for _, node := range cluster.Controls[2:4] {
			node.Kill()
			cluster.Network.SetPoweredOff(node.Settings.IP, true)
		}
		time.Sleep(4 * time.Second)
		c.Check(change("00000003", 4), qt.Equals, 200)
		for _, node := range cluster.Controls { // the last change must survive on the disk that failed
			node.Kill()
			node.Disk.PowerLoss(true)
		}
		time.Sleep(time.Second)
		disk, items, cells, complete, err := store.Open(failing.Disk.Open())
		c.Assert(err, qt.IsNil)
		disk.Close()
		var node consensus.HardState // the last change may be stored as an accepted value only
		c.Assert(json.Unmarshal(cells["node"], &node), qt.IsNil)
		items = append(items, node.AcceptedValue...)
		c.Check(complete, qt.IsTrue)
		newest := uint64(0)
		for _, i := range items {
			if i.Kind == config.KindRoutes && i.Name == safeRoute.Name {
				newest = i.Version
			}
		}
		c.Check(newest, qt.Equals, uint64(3))
	})
}

// Closing a store during a write that waits for the disk must let the write complete, and must not deadlock.
func TestStoreClosedDuringWrite(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d := NewDisk()
			st, _, _, _, err := store.Open(d.Open())
			c.Assert(err, qt.IsNil)
			if d.SetFaults(0, refuse); refuse {
				c.Assert(st.Write([]config.Item{testItem("r", 1)}, nil, false), qt.ErrorIs, errWriteFailed)
				c.Assert(st.Write([]config.Item{testItem("r", 1)}, nil, false), qt.ErrorIs, errWriteFailed)
			}
			d.SetFaults(125*time.Millisecond, false)
			done := make(chan error, 1)
			go func() { done <- st.Write([]config.Item{testItem("r", 2)}, nil, false) }()
			time.Sleep(50 * time.Millisecond)
			c.Check(st.Close(), qt.IsNil)
			c.Check(<-done, qt.IsNil)
			c.Check(st.Write(nil, nil, true), qt.ErrorIs, store.ErrClosed)
			c.Check(st.Reopened.Load() == 1, qt.Equals, refuse)
			time.Sleep(2 * time.Second) // until the store's goroutines have ended
		})
	}
}

// Killing a process during a slow or failing write must not deadlock, and the process must recover after a restart.
func TestKilledDuringWriteFailure(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 125 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			layout := smallLayout
			layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 6, 1, 0
			cluster := startCluster(c, layout)
			for n := range 6 {
				node := cluster.Controls[n]
				go cluster.Call("configuration.modify", "", cluster.ChangeBody(false, Route{Name: "r", Prefix: fmt.Sprintf("/r%d/", n), Service: "desk",
					Version: config.FormatVersion(uint64(n + 2))}), 3*time.Second, (n+1)%6)
				node.Disk.SetFaults(delay, true)
				time.Sleep(time.Duration(n*70) * time.Millisecond)
				node.Disk.SetFaults(delay, n%2 == 0)
				time.Sleep(time.Duration(n*31) * time.Millisecond)
				node.Kill()
				time.Sleep(1300 * time.Millisecond)
				node.Disk.SetFaults(5*time.Millisecond, false)
				c.Assert(node.Start(), qt.IsNil)
				time.Sleep(3 * time.Second)
				c.Check(node.Status(), qt.Equals, "in touch")
			}
		})
	}
}
