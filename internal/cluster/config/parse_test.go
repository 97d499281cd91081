package config

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
)

// An invalid change is refused by an error with the item, the field and the reason, and nothing of it comes into force.
func TestInvalidChange(t *testing.T) {
	good := string(changeJSON("r1 a.example /one/ desk 00000002"))
	for name, x := range map[string]struct{ raw, wantErr string }{
		"cut short":        {good[:len(good)-9], "can't be read whole"},
		"more behind":      {good + "{}", "goes on behind its end"},
		"no table":         {`[1]`, "no table"},
		"unknown kind":     {`{"set-items":{"tenants":{}}}`, "set-items.tenants: no such kind"},
		"unknown service":  {string(changeJSON("r1 a.example /one/ nowhere 00000002")), "r1: service nowhere does not stand"},
		"same place":       {string(changeJSON("r1 a.example /one/ desk 00000002", "r2 A.example /one/ bags 00000002")), "has its place"},
		"no slash":         {string(changeJSON("r1 a.example one/ desk 00000002")), "path-prefix: .*slash"},
		"long timeout":     {string(changeJSON("r1 a.example /one/ desk 00000002 timeout=601")), "timeout-s: .*600"},
		"aim over":         {string(changeJSON("r1 a.example /one/ desk 00000002 target=61.5")), "target-s: a minute"},
		"below zero":       {string(changeJSON(`r1 a.example /one/ desk 00000002 split=[{"service":"desk","share-weight":-1},{"service":"bags","share-weight":2}]`)), "share-weight: -1 is not from 0"},
		"no weight":        {string(changeJSON(`r1 a.example /one/ desk 00000002 split=[{"service":"desk","share-weight":0}]`)), "no weight above 0"},
		"version":          {string(changeJSON("r1 a.example /one/ desk 2")), "eight hexadecimal digits"},
		"columns and row":  {strings.Replace(good, `"r1",`, ``, 1), "11 cells for 12 columns"},
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
