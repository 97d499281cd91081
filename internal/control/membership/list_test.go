package membership

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// newList parses members written as "ip/id/zone ...".
func newList(epoch uint64, members string) (l List) {
	l.Epoch = epoch
	for _, m := range strings.Fields(members) {
		l.Members = append(l.Members, parseMember(m))
	}
	return l
}

func parseMember(s string) Member {
	f := strings.Split(s, "/")
	return Member{IP: f[0], ID: f[1], Zone: f[2], Name: "n" + f[0]}
}

func (l List) format() string {
	var all []string
	for _, m := range l.Members {
		all = append(all, m.IP+"/"+m.ID+"/"+m.Zone)
	}
	return fmt.Sprintf("%d %s", l.Epoch, strings.Join(all, " "))
}

func TestChange(t *testing.T) {
	for name, x := range map[string]struct{ old, joining, leaving, want string }{
		"first list":                        {"", "2/b/y 1/a/x", "", "1 1/a/x 2/b/y"},
		"added in sorted order":             {"1/a/x 3/c/z", "2/b/y", "", "8 1/a/x 2/b/y 3/c/z"},
		"already a member":                  {"1/a/x 2/b/y", "2/b/y", "", "7 1/a/x 2/b/y"},
		"nobody":                            {"1/a/x", "", "", "7 1/a/x"},
		"same IP with a new disk":           {"1/a/x 2/b/y", "2/e/y", "", "8 1/a/x 2/e/y"},
		"same disk in another zone":         {"1/a/x 2/b/y", "2/b/z", "", "8 1/a/x 2/b/z"},
		"one added, one removed":            {"1/a/x 2/b/y 3/c/z", "4/d/z", "3", "8 1/a/x 2/b/y 4/d/z"},
		"one removed":                       {"1/a/x 2/b/y 3/c/z", "", "2", "8 1/a/x 3/c/z"},
		"removal of a non-member":           {"1/a/x 2/b/y", "", "9", "7 1/a/x 2/b/y"},
		"same IP added and removed":         {"1/a/x 2/b/y", "2/e/y", "2", "8 1/a/x"},
		"no members would remain":           {"1/a/x 2/b/y", "", "1 2", "7 1/a/x 2/b/y"},
		"all replaced by one":               {"1/a/x 2/b/y", "3/c/z", "1 2", "8 3/c/z"},
		"same member added twice":           {"1/a/x", "2/b/y 2/b/y", "", "8 1/a/x 2/b/y"},
		"two disks with one IP: first wins": {"1/a/x", "2/b/y 2/c/y", "", "8 1/a/x 2/b/y"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			old := newList(7, x.old)
			if x.old == "" {
				old.Epoch = 0
			}
			before := old.format()
			c.Check(old.Change(newList(0, x.joining).Members, strings.Fields(x.leaving)).format(), qt.Equals, x.want)
			c.Check(old.format(), qt.Equals, before, qt.Commentf("Change modified its receiver"))
		})
	}
}

func TestRemovable(t *testing.T) {
	const six = "1/a/x 2/b/x 3/c/y 4/d/y 5/e/y 6/f/z"
	for name, x := range map[string]struct {
		silent  string
		perZone int
		want    string
	}{
		"no silent members":              {"", 1, ""},
		"one of three":                   {"4", 2, "4"},
		"two of three, two must remain":  {"4 5", 2, "4"},
		"two of three":                   {"4 5", 1, "4 5"},
		"all of a zone, one must remain": {"3 4 5", 1, "3 4"},
		"last member of its zone":        {"6", 1, ""},
		"zone already at its minimum":    {"1", 2, ""},
		"in two zones":                   {"1 3 4", 1, "1 3 4"},
		"silent non-member":              {"9", 1, ""},
		"zone below its minimum":         {"6", 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, strings.Join(newList(7, six).Removable(strings.Fields(x.silent), x.perZone), " "), qt.Equals, x.want)
		})
	}
}

func TestTolerates(t *testing.T) {
	for name, x := range map[string]struct {
		members, down string
		losses        int
		zones         string
	}{
		"none":                           {"", "", -1, ""},
		"one":                            {"1/a/x", "", 0, ""},
		"two":                            {"1/a/x 2/b/y", "", 0, ""},
		"three zones":                    {"1/a/x 2/b/y 3/c/z", "", 1, "x y z"},
		"three zones, one down":          {"1/a/x 2/b/y 3/c/z", "2", 0, "y"},
		"three zones, two down":          {"1/a/x 2/b/y 3/c/z", "2 3", -1, ""},
		"one large zone":                 {"1/a/x 2/b/x 3/c/x 4/d/y 5/e/z", "", 2, "y z"},
		"four tolerate as much as three": {"1/a/x 2/b/y 3/c/z 4/d/z", "", 1, "x y"},
		"six in three zones":             {"1/a/x 2/b/x 3/c/y 4/d/y 5/e/z 6/f/z", "", 2, "x y z"},
		"six, one down":                  {"1/a/x 2/b/x 3/c/y 4/d/y 5/e/z 6/f/z", "1", 1, "x"},
		"non-member down":                {"1/a/x 2/b/y 3/c/z", "9", 1, "x y z"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, zones := newList(7, x.members).Tolerates(strings.Fields(x.down))
			c.Check(n, qt.Equals, x.losses)
			c.Check(strings.Join(zones, " "), qt.Equals, x.zones)
		})
	}
}

// Acknowledgements count toward a quorum by IP address and disk ID.
func TestQuorum(t *testing.T) {
	for name, x := range map[string]struct {
		members, acks string
		quorum        bool
	}{
		"empty list, no acks":         {"", "", false},
		"empty list, one ack":         {"", "1/a/", false},
		"one of one":                  {"1/a/x", "1/a/", true},
		"one of two":                  {"1/a/x 2/b/y", "1/a/", false},
		"two of three":                {"1/a/x 2/b/y 3/c/z", "1/a/ 3/c/", true},
		"two of four":                 {"1/a/x 2/b/y 3/c/z 4/d/z", "1/a/ 3/c/", false},
		"member with a wiped disk":    {"1/a/x 2/b/y 3/c/z", "1/a/ 3/e/", false},
		"ID of another member's disk": {"1/a/x 2/b/y 3/c/z", "1/a/ 2/c/", false},
		"non-members don't count":     {"1/a/x 2/b/y 3/c/z", "1/a/ 4/d/ 5/e/ 6/f/", false},
		"member without a disk ID":    {"1//x 2/b/y 3/c/z", "1//", false},
	} {
		t.Run(name, func(t *testing.T) {
			acks := map[string]string{}
			for _, m := range newList(0, x.acks).Members {
				acks[m.IP] = m.ID
			}
			qt.Check(t, newList(7, x.members).HasQuorum(acks), qt.Equals, x.quorum)
		})
	}
}

// Any two quorums of a list intersect, so no set of members and its complement are both quorums.
func TestQuorumsIntersect(t *testing.T) {
	for size := 1; size <= 9; size++ {
		l := List{Epoch: 1}
		for n := range size {
			l.Members = append(l.Members, Member{IP: fmt.Sprint(n), ID: "d"})
		}
		for subset := range 1 << size {
			acks, otherAcks := map[string]string{}, map[string]string{}
			for n := range size {
				if subset>>n&1 != 0 {
					acks[fmt.Sprint(n)] = "d"
				} else {
					otherAcks[fmt.Sprint(n)] = "d"
				}
			}
			if l.HasQuorum(acks) && l.HasQuorum(otherAcks) {
				t.Fatalf("%d members: disjoint sets %v and %v are both quorums", size, acks, otherAcks)
			}
		}
	}
}

// A list survives encoding as an item. An invalid body or an epoch other than the item's version yields the zero List.
func TestItem(t *testing.T) {
	c := qt.New(t)
	l := newList(7, "1/a/x 2/b/y")
	c.Check(FromItem(l.Item()), qt.DeepEquals, l)
	s := config.NewSet()
	c.Check(FromSet(s), qt.DeepEquals, List{})
	s.Merge(l.Item())
	c.Check(FromSet(s), qt.DeepEquals, l)
	c.Check(s.Members(), qt.DeepEquals, map[string]string{"1": "x", "2": "y"})
	s.Merge(l.Change(nil, []string{"1"}).Item())
	c.Check(FromSet(s).format(), qt.Equals, "8 2/b/y")
	c.Check(s.Merge(l.Item()), qt.IsFalse, qt.Commentf("merge of an older epoch"))
	i := l.Item()
	i.Version = 8
	c.Check(FromItem(i).Members, qt.HasLen, 0)
	i.Body = []byte(`[`)
	c.Check(FromItem(i).Members, qt.HasLen, 0)
}
