package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

func testItem(name string, version uint64) config.Item {
	body, _ := json.Marshal(map[string]string{"name": name, "path-prefix": "/" + name + "/"})
	return config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: body}
}

// Synced writes must survive a loss of power; other writes are recovered completely or not at all.
func TestStoreAfterPowerLoss(t *testing.T) {
	for _, torn := range []bool{false, true} {
		c := qt.New(t)
		d := NewDisk()
		st, items, _, complete, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		c.Check(items, qt.HasLen, 0)
		c.Check(complete, qt.IsFalse)
		for n := range 200 {
			c.Assert(st.Write([]config.Item{testItem(fmt.Sprint("r", n), 1)}, map[string][]byte{"desk#1": []byte("cell")}, n == 0), qt.IsNil)
		}
		d.PowerLoss(torn)
		_, items, cells, complete, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		c.Check(items, qt.HasLen, 200)
		c.Check(complete, qt.IsTrue)
		c.Check(string(cells["desk#1"]), qt.Equals, "cell")
	}
}

// A store must accept writes again after a disk failure without being reopened by its caller.
func TestStoreAfterWriteFailure(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	st, _, _, _, err := store.Open(d.Open())
	c.Assert(err, qt.IsNil)
	c.Assert(st.Write([]config.Item{testItem("r", 1)}, nil, true), qt.IsNil)
	d.SetFaults(0, true)
	c.Assert(st.Write([]config.Item{testItem("r", 2)}, nil, false), qt.IsNotNil)
	d.SetFaults(0, false)
	c.Check(st.Write([]config.Item{testItem("r", 3)}, nil, false), qt.IsNil)
	_, items, _, _, err := store.Open(d.Open())
	c.Assert(err, qt.IsNil)
	c.Check(newestVersion(items), qt.Equals, uint64(3))
}

// A corrupted disk must not be taken for an empty or an older one: Open fails, or reports the items as incomplete, so that the process
// catches up from the others before it votes. Only a corrupted last record, as after a loss of power, counts as an unfinished write.
func TestStoreCorrupted(t *testing.T) {
	outcomes := map[string]int{}
	for at := range 120 {
		d := NewDisk()
		st, _, _, _, err := store.Open(d.Open())
		qt.Assert(t, err, qt.IsNil)
		for n := range 900 { // fills three blocks of the journal
			qt.Assert(t, st.Write([]config.Item{testItem(fmt.Sprint("r", n%50), uint64(n))}, nil, n == 0), qt.IsNil)
		}
		st.Close()
		for fd, f := range d.files {
			if (fd.Type == storage.TypeManifest) == (at%3 == 0) && len(f.data) > 0 {
				f.data[at*len(f.data)/120] ^= 0x5a
			}
		}
		again, items, _, complete, err := store.Open(d.Open())
		switch {
		case err != nil:
			outcomes["error"]++
		case complete && len(items) == 50 && newestVersion(items) == 899:
			outcomes["unharmed"]++ // the corrupted byte is not read
		case complete:
			t.Errorf("corrupted byte %d: got %d of 50 items, newest version %d, reported as complete", at, len(items), newestVersion(items))
		default:
			outcomes["incomplete items"]++
		}
		if again != nil {
			again.Close()
		}
	}
	t.Log(outcomes)
}

func newestVersion(items []config.Item) (last uint64) {
	for _, i := range items {
		last = max(last, i.Version)
	}
	return last
}

// A journal truncated at any byte, as after a loss of power, is not damaged; one with a corrupted byte before its last record is.
func TestTornWriteIsNotCorruption(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	st, _, _, _, err := store.Open(d.Open())
	c.Assert(err, qt.IsNil)
	for n := range 8 {
		i := testItem(fmt.Sprint("r", n), 1)
		if n == 3 {
			i.Body = []byte(`"` + strings.Repeat("x", 70<<10) + `"`) // a record that spans several blocks
		}
		c.Assert(st.Write([]config.Item{i}, nil, false), qt.IsNil)
	}
	var raw []byte
	for fd, f := range d.files {
		if fd.Type == storage.TypeJournal {
			raw = f.data
		}
	}
	c.Assert(len(raw) > 70<<10, qt.IsTrue)
	c.Check(store.Damaged(raw), qt.IsFalse)
	last := bytes.LastIndex(raw, []byte("i/routes/r7")) - 40 // within the record before the last one, or at its end
	for at := range raw {
		if at%97 != 0 && at < len(raw)-500 {
			continue // only sample the long record
		}
		c.Assert(store.Damaged(raw[:at]), qt.IsFalse, qt.Commentf("truncated at byte %d", at))
		bad := bytes.Clone(raw)
		if bad[at] ^= 0x5a; at < last {
			c.Assert(store.Damaged(bad), qt.IsTrue, qt.Commentf("corrupted byte %d of %d", at, len(raw)))
		}
		zeros := append(bytes.Clone(raw[:at]), make([]byte, len(raw)-at)...) // extended but not written
		c.Assert(store.Damaged(zeros), qt.IsFalse, qt.Commentf("zeros from %d", at))
	}
}

// The size of the store must not grow with the number of changes, and tombstones cost a bounded number of bytes each: twice the bound of
// their encoding, as obsolete tables stay until the next compaction, and the write buffer.
func TestStoreStaysSmall(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	st, _, _, _, err := store.Open(d.Open())
	c.Assert(err, qt.IsNil)
	for n := range 300 {
		var all []config.Item
		for r := range 400 {
			all = append(all, testItem(fmt.Sprint("r", r), uint64(n+1)))
		}
		c.Assert(st.Write(all, nil, false), qt.IsNil)
	}
	st.Close()
	size := 0
	for _, f := range d.files {
		size += len(f.data)
	}
	c.Check(size < 8<<20, qt.IsTrue, qt.Commentf("%d bytes for 400 items after 120,000 changes", size))

	const deleted, perChange, writeBuffer = 20_000, 100, 1 << 20
	tombstones := NewDisk()
	st, _, _, _, err = store.Open(tombstones.Open())
	c.Assert(err, qt.IsNil)
	var all []config.Item
	for n := range deleted {
		all = append(all, config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("d", n), Version: uint64(n + 1), Deleted: true})
		if len(all)%perChange == 0 {
			c.Assert(st.Write(all[len(all)-perChange:], nil, false), qt.IsNil)
		}
	}
	st.Close()
	size = 0
	for _, f := range tombstones.files {
		size += len(f.data)
	}
	c.Check(size <= 2*config.EncodedSizeBound(all)+writeBuffer, qt.IsTrue, qt.Commentf("%d bytes for %d tombstones", size, deleted))
	_, items, _, _, err := store.Open(tombstones.Open())
	c.Assert(err, qt.IsNil)
	set := config.NewSet()
	for _, i := range items {
		set.Merge(i)
	}
	for _, i := range all {
		stored, exists := set.Lookup(i.Key())
		c.Assert(exists && stored.Equal(i), qt.IsTrue, qt.Commentf("%s is not on disk", i.Name))
	}
}

// The bytes sent to a process after a partition must depend on what changed, not on the size of the configuration. A change costs one
// sync on each disk, and bytes between regions that don't depend on the size of the configuration either.
func TestRepairCostFollowsChanges(t *testing.T) {
	const changes = 5
	var repairCost, changeCost []int64
	for _, routes := range []int{10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			layout := smallLayout
			layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 6, 1, 0
			cluster := New(layout)
			c.Assert(cluster.Start(), qt.IsNil)
			defer cluster.Stop()
			time.Sleep(2 * time.Second)
			var all []Route
			for n := range routes {
				all = append(all, Route{Name: fmt.Sprint("r", n), Prefix: fmt.Sprintf("/r%d/", n), Service: "desk", Version: "00000001", Idempotent: true})
			}
			status, _, reply := cluster.Call("configuration.modify", "", cluster.ChangeBody(true, all...), 6*time.Second, 0)
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", reply))
			time.Sleep(5 * time.Second)
			syncs := 0
			for _, node := range cluster.Controls {
				syncs -= node.Disk.syncCount()
			}
			before, _ := cluster.Network.crossTraffic()
			time.Sleep(changes * 2400 * time.Millisecond)
			idle, _ := cluster.Network.crossTraffic()
			for n := range changes { // averaged, as gossip at random times can cost as much as one change
				all[3].Version = fmt.Sprintf("%08d", n+2)
				status, _, _ = cluster.Call("configuration.modify", "", cluster.ChangeBody(false, all[3]), 2400*time.Millisecond, 1)
				c.Assert(status, qt.Equals, 200)
				time.Sleep(2400 * time.Millisecond)
			}
			after, _ := cluster.Network.crossTraffic()
			changeCost = append(changeCost, (after-idle-(idle-before))/changes)
			for _, node := range cluster.Controls {
				syncs += node.Disk.syncCount()
			}
			c.Check(syncs, qt.Equals, changes*len(cluster.Controls))

			partitioned := cluster.Controls[5]
			for _, node := range cluster.Controls[:5] {
				cluster.Network.SetPartition(node.Settings.IP, partitioned.Settings.IP, true)
			}
			time.Sleep(4 * time.Second)
			all[5].Version = "00000003"
			status, _, _ = cluster.Call("configuration.modify", "", cluster.ChangeBody(false, all[5]), 3*time.Second, 1)
			c.Assert(status, qt.Equals, 200)
			time.Sleep(time.Second)
			before = cluster.Network.ReceivedBytes(partitioned.Settings.IP)
			for _, node := range cluster.Controls[:5] {
				cluster.Network.SetPartition(node.Settings.IP, partitioned.Settings.IP, false)
			}
			time.Sleep(5 * time.Second)
			c.Check(partitioned.Status(), qt.Equals, "in touch")
			_, _, reply = cluster.Call("configuration.read", "", nil, time.Second, 5)
			c.Check(string(reply), qt.Contains, `"00000003"`)
			repairCost = append(repairCost, cluster.Network.ReceivedBytes(partitioned.Settings.IP)-before)
		})
	}
	t.Log("bytes to the one that was cut off, at 10, 100 and 1000 routes:", repairCost)
	t.Log("bytes between regions for an order of one route, the calm's taken off:", changeCost)
	qt.Check(t, max(changeCost[0], changeCost[1], changeCost[2]) < 6000, qt.IsTrue, qt.Commentf("%v", changeCost))
	qt.Check(t, repairCost[2] < 3*repairCost[0], qt.IsTrue, qt.Commentf("%v", repairCost))
}

// A write to a full disk fails and leaves a partial record. Once there is space, the next write must succeed without a restart, and
// successful writes must survive a loss of power.
func TestStoreOnFullDisk(t *testing.T) {
	for _, torn := range []bool{false, true} {
		c := qt.New(t)
		d := NewDisk()
		st, _, _, _, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		c.Assert(st.Write([]config.Item{testItem("r", 1)}, nil, true), qt.IsNil)
		for version := uint64(2); version < 60; version += 2 {
			d.setFull(true)
			c.Assert(st.Write([]config.Item{testItem("r", version)}, nil, false), qt.IsNotNil)
			d.setFull(false)
			c.Assert(st.Write([]config.Item{testItem("r", version+1)}, nil, false), qt.IsNil)
		}
		d.setFull(true)
		c.Assert(st.Write([]config.Item{testItem("r", 90)}, nil, false), qt.IsNotNil)
		d.PowerLoss(torn)
		d.setFull(false)
		_, items, _, complete, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		c.Check(newestVersion(items), qt.Equals, uint64(59))
		c.Check(complete, qt.IsTrue)
	}
}
