package config

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
)

// An invalid change is rejected with an error that names the item, the field and the reason, and none of its items take effect.
func TestInvalidChange(t *testing.T) {
	good := string(changeJSON("r1 a.example /one/ desk 00000002"))
	for name, x := range map[string]struct{ raw, wantErr string }{
		"cut short":        {good[:len(good)-9], "not valid JSON"},
		"trailing data":    {good + "{}", "extra data after the JSON object"},
		"not an object":    {`[1]`, "not a JSON object"},
		"unknown kind":     {`{"set-items":{"tenants":{}}}`, "set-items.tenants: unknown kind of items; allowed are routes, services, shares and limits"},
		"unknown service":  {string(changeJSON("r1 a.example /one/ nowhere 00000002")), "r1: service nowhere does not stand"},
		"same match":       {string(changeJSON("r1 a.example /one/ desk 00000002", "r2 A.example /one/ bags 00000002")), "has its place"},
		"no slash":         {string(changeJSON("r1 a.example one/ desk 00000002")), "path-prefix: .*slash"},
		"long timeout":     {string(changeJSON("r1 a.example /one/ desk 00000002 timeout=601")), "timeout-s: .*600"},
		"target over":      {string(changeJSON("r1 a.example /one/ desk 00000002 target=61.5")), "target-s: must be less than 60 seconds above timeout-s"},
		"negative weight":  {string(changeJSON(`r1 a.example /one/ desk 00000002 split=[{"service":"desk","share-weight":-1},{"service":"bags","share-weight":2}]`)), "share-weight: -1 is not from 0"},
		"no weight":        {string(changeJSON(`r1 a.example /one/ desk 00000002 split=[{"service":"desk","share-weight":0}]`)), "at least one share-weight must be above 0"},
		"version":          {string(changeJSON("r1 a.example /one/ desk 2")), "eight hexadecimal digits"},
		"missing cell":     {strings.Replace(good, `"r1",`, ``, 1), "11 cells for 12 columns"},
		"target too large": {string(changeJSON("r1 a.example /one/ desk 00000002 target=1e99")), "target-s: "},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSet()
			items, err := ParseChange([]byte(x.raw))
			if err == nil {
				_, err = s.CheckChange(items)
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+x.wantErr+".*")
			c.Check(apierror.KindOf(err), qt.Equals, apierror.Invalid)
			c.Check(s.Len(), qt.Equals, 0)
		})
	}
}

func FuzzParseChange(f *testing.F) {
	f.Add(changeJSON("r1 a.example /one/ desk 00000002"))
	f.Add([]byte(`{"set-items":{"routes":{"table-columns":["name"],"table-rows":[[null]]}}}`))
	f.Add([]byte(`{"drop-names":{"routes":[1,{"name":{}}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		items, err := ParseChange(raw)
		if err != nil {
			return
		}
		s := NewSet()
		if effective, err := s.CheckChange(items); err == nil {
			for _, i := range effective {
				s.Merge(i)
			}
			if _, err := s.EncodeChange(); err != nil {
				t.Error(err)
			}
			if _, err := json.Marshal(effective); err != nil {
				t.Error(err)
			}
		}
	})
}
