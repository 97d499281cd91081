package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
)

const currentConfig = `{"routes":{"table-columns":["name","host-name","path-prefix","route-kind","timeout-s","service","version"],
"table-rows":[["r1","a.example","/one/","safe_method",1,"desk","00000003"]]},
"services":{"table-columns":["name","health-path","version"],"table-rows":[["desk","/health","00000001"]]}}`

func changeJSON(rows string) string {
	return `{"set-items":{"routes":{"table-columns":["name","host-name","path-prefix","route-kind","timeout-s","service","version"],
"table-rows":[` + rows + `]}},
"drop-names":{"routes":[{"name":"r9","version":"00000005"}]}}`
}

func TestCheckChangeAndDiff(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ raw, wantErr string }{
		{"{\n\n\"set-items\": }", "line 3: .*"},
		{changeJSON(`["r2","a.example","/two/","safe_method",700,"desk","00000004"]`), `line 2: .*routes r2: set-items.routes.table-rows\[0\].timeout-s: 700 is not from 0 to 600`},
		{changeJSON("[\"r2\",\"a.example\",\"/two/\",\"safe_method\",7,\"desk\",\"00000004\"],\n\n[\"r3\",\"a.example\",\n\"two/\",\"safe_method\",7,null,\"00000004\"]"),
			`(?s)line 5: .*routes r3: .*path-prefix: "two/" does not.*\nline 5: routes r3: .*service: missing`},
		{changeJSON(`["r2","a.example"]`), `line 2: .*2 cells for 7 columns`},
		{`{"set-items":{"limits":{"header-bytes":1,"body-bytes":1,"header-timeout-s":1,"idle-timeout-s":1,
"version":"1"}}}`, `line 2: .*limits.version: "1" is not eight.*`},
		{changeJSON(`["r2","a.example","/one/","safe_method",1,"desk","00000004"]`), "route r1: route r2 has its place"},
		{changeJSON(`["r2","a.example","/two/","safe_method",1,"bags","00000004"]`), "route r2: service bags does not stand"},
	} {
		_, _, err := CheckChange([]byte(x.raw), []byte(currentConfig))
		c.Check(err, qt.ErrorMatches, x.wantErr)
	}
	items, effective, err := CheckChange([]byte(changeJSON(`["r1","a.example","/uno/","safe_method",1,"desk","00000004"],["r3","a.example","/x/","safe_method",1,"desk","00000001"]`)), []byte(currentConfig))
	c.Assert(err, qt.IsNil)
	c.Check([2]int{len(items), len(effective)}, qt.Equals, [2]int{3, 3})
	set, err := ParseConfiguration([]byte(currentConfig))
	c.Assert(err, qt.IsNil)
	all := strings.Join(Diff(set, items), "\n")
	for _, want := range []string{"- routes r1 00000003", "+ routes r1 00000004", "+ routes r3 00000001", "- routes r9 00000005"} {
		c.Check(all, qt.Contains, want)
	}
	older, _, err := CheckChange([]byte(changeJSON(`["r1","a.example","/old/","safe_method",1,"desk","00000002"]`)), []byte(currentConfig))
	c.Assert(err, qt.IsNil)
	c.Check(strings.Join(Diff(set, older), "\n"), qt.Contains, "= routes r1: version 00000002 has no effect, the current version is 00000003")
}

// The change restores the items of the snapshot after any changes and deletions, and is empty if nothing was changed.
func TestRestoreChange(t *testing.T) {
	c := qt.New(t)
	snapshot := []byte(`{"set-items":` + currentConfig + `}`)
	for _, changes := range []string{
		changeJSON(`["r1","a.example","/uno/","safe_method",1,"desk","00000004"],["r3","a.example","/x/","safe_method",1,"desk","00000009"]`),
		`{"drop-names":{"routes":[{"name":"r1","version":"0000000c"}]}}`,
		changeJSON(""),
	} {
		set, err := ParseConfiguration([]byte(currentConfig))
		c.Assert(err, qt.IsNil)
		merge := func(raw []byte) {
			items, err := config.ParseChange(raw)
			c.Assert(err, qt.IsNil)
			_, err = set.CheckChange(items)
			c.Assert(err, qt.IsNil)
			for _, i := range items {
				set.Merge(i)
			}
		}
		merge([]byte(changes))
		now, err := set.EncodeChange()
		c.Assert(err, qt.IsNil)
		restore, items, err := RestoreChange(snapshot, now, set.HighestVersion())
		c.Assert(err, qt.IsNil)
		merge(restore)
		c.Check(items == 0, qt.Equals, changes == changeJSON(""))
		for kind, want := range map[string]int{config.KindRoutes: 1, config.KindServices: 1} {
			c.Assert(set.Live(kind), qt.HasLen, want)
		}
		r1, _ := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r1"})
		c.Check(string(r1.Body), qt.Contains, `"/one/"`)
	}
	_, _, err := RestoreChange([]byte("{"), []byte(currentConfig), 1)
	c.Check(err, qt.ErrorMatches, "line 1: .*")
}

// A quota is validated before it is sent, and control parses the change as intended.
func TestSetQuotaChange(t *testing.T) {
	c := qt.New(t)
	raw, err := SetQuotaChange(map[string]any{"name": "s", "service": "desk", "caller-header": "X-Agency", "caller": "a", "per-s": 20.0, "burst": nil,
		"part": nil, "watch-only": nil}, 0x2a)
	c.Assert(err, qt.IsNil)
	items, err := config.ParseChange(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(items, qt.HasLen, 1)
	c.Check([2]any{items[0].Kind, items[0].Version}, qt.Equals, [2]any{config.KindQuotas, uint64(0x2b)})
	_, err = SetQuotaChange(map[string]any{"name": "s", "service": "desk", "caller-header": "X-Agency", "caller": "a"}, 1)
	c.Check(err, qt.ErrorMatches, "per-s: missing.*")
	raw, err = DropQuotaChange("s", 0x2b)
	c.Assert(err, qt.IsNil)
	items, err = config.ParseChange(raw)
	c.Assert(err, qt.IsNil)
	c.Check(items[0].Deleted && items[0].Version == 0x2c, qt.IsTrue)
}

// A simulation adds up the counts of all control processes for each minute.
func TestSimulateQuota(t *testing.T) {
	c := qt.New(t)
	minutes := func(n uint64) []uint64 {
		all := make([]uint64, 60)
		all[3], all[59] = n, n/2
		return all
	}
	one := map[string][]quota.CallerHistory{"desk": {{Name: "a", Minutes: minutes(100)}, {Name: "", Minutes: minutes(10)}}}
	two := map[string][]quota.CallerHistory{"desk": {{Name: "a", Minutes: minutes(100)}, {Name: "b", Minutes: minutes(70)}}, "bags": {{Name: "c", Minutes: minutes(900)}}}
	got := SimulateQuota([]map[string][]quota.CallerHistory{one, two, nil}, "desk", "", 1)
	c.Check(got, qt.DeepEquals, []ThrottledCaller{{"a", 300, 180, 200}, {"b", 105, 10, 70}, {"", 15, 0, 10}})
	c.Check(SimulateQuota([]map[string][]quota.CallerHistory{one, two}, "desk", "*", 0.1), qt.DeepEquals, []ThrottledCaller{{"", 15, 4, 10}})
	c.Check(SimulateQuota([]map[string][]quota.CallerHistory{one, two}, "desk", "b", 1), qt.HasLen, 1)
}

// Call goes on to the next process if one is unreachable or unready, and returns the error of one that rejects the call. ErrNoAnswer is
// returned if none answers.
func TestCall(t *testing.T) {
	serve := func(status int, body string) (string, *int) {
		n := new(int)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			*n++
			w.WriteHeader(status)
			io.WriteString(w, body)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), n
	}
	unready, unreadyCalls := serve(503, `{"error":"unready","reason":"alone"}`)
	good, _ := serve(200, `{"x":1}`)
	invalid, invalidCalls := serve(400, `{"error":"invalid","reason":"routes r1: no"}`)
	c := qt.New(t)
	call := func(timeout time.Duration, addresses ...string) ([]byte, error) {
		return (&Client{Addresses: addresses, HTTP: &http.Client{}, Timeout: timeout}).Call(context.Background(), "configuration.read", "", nil)
	}
	raw, err := call(5*time.Second, "127.0.0.1:1", unready, good)
	c.Assert(err, qt.IsNil)
	c.Check(string(raw), qt.Equals, `{"x":1}`)
	c.Check(*unreadyCalls, qt.Equals, 1)
	_, err = call(5*time.Second, invalid, good)
	var r *ResponseError
	c.Assert(errors.As(err, &r), qt.IsTrue)
	c.Check(r.Reason, qt.Equals, "routes r1: no")
	c.Check(*invalidCalls, qt.Equals, 1)
	each := func(addresses ...string) (n int, err error) {
		p := &Client{Addresses: addresses, HTTP: &http.Client{}}
		err = p.CallEach(context.Background(), "harbour.read", func([]byte) error { n++; return nil })
		return n, err
	}
	n, err := each("127.0.0.1:1", good, unready, good)
	c.Check([2]any{n, err}, qt.Equals, [2]any{2, nil})
	_, err = each("127.0.0.1:1", unready)
	c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue)
	_, err = call(time.Millisecond, "127.0.0.1:1")
	c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue)
}
