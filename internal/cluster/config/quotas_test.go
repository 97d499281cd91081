package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Quotas are validated like other items, with errors that name the item and the field. After a merge of conflicting quotas, the set's
// items alone determine which are inactive or reduced.
func TestQuotas(t *testing.T) {
	c := qt.New(t)
	rows := func(version string, all ...string) []byte {
		for i, r := range all {
			all[i] = strings.Replace(strings.TrimSuffix(r, ","), "]", `,"`+version+`"]`, 1)
		}
		return []byte(`{"set-items":{"shares":{"table-columns":["name","service","caller-header","caller","per-s","burst","part","version"],"table-rows":[` +
			strings.Join(all, ",") + `]}}}`)
	}
	s := parseSet(c, changeJSON("r1 a.example /one/ desk 00000002"))
	c.Check(NewRoutingTable(s).Quotas, qt.IsNil)
	for wantErr, row := range map[string]string{
		"service: nowhere does not stand":                        `["s1","nowhere","X-Agency","a",5,5,null]`,
		"per-s: .* is not from":                                  `["s1","desk","X-Agency","a",-1,5,null]`,
		"per-s: missing, and no part either":                     `["s1","desk","X-Agency","a",null,5,null]`,
		"burst: 0.5 is not from 1":                               `["s1","desk","X-Agency","a",5,0.5,null]`,
		"part: 1.2 is not from 0 to 1":                           `["s1","desk","X-Agency","a",5,5,1.2]`,
		"caller: missing":                                        `["s1","desk","X-Agency",null,5,5,null]`,
		"caller-header: .* is not a valid header name":           `["s1","desk","X Agency","a",5,5,null]`,
		"sum up to 1.200":                                        `["s1","desk","X-Agency","a",5,5,0.6],["s2","desk","x-agency","b",5,5,0.6]`,
		"caller: share s1 has":                                   `["s1","desk","X-Agency","a",5,5,null],["s2","desk","X-Agency","a",5,5,null]`,
		"caller-header: X-Other, and the service's newest share": `["s1","desk","X-Agency","a",5,5,null],["s2","desk","X-Other","b",5,5,null]`,
	} {
		items, err := ParseChange(rows("00000004", strings.SplitAfter(row, "],")...))
		if err == nil {
			_, err = s.CheckChange(items)
		}
		c.Check(err, qt.ErrorMatches, "(?s).*"+wantErr+".*")
	}
	for _, raw := range [][]byte{rows("00000004", `["s1","desk","X-Agency","a",5,null,0.6]`), rows("00000005", `["s2","desk","x-agency","*",null,9,0.6]`)} {
		items, err := ParseChange(raw)
		c.Assert(err, qt.IsNil)
		_, err = s.CheckChange(items[:0])
		c.Assert(err, qt.IsNil)
		for _, i := range items { // merged without CheckChange, as if two operators sent them to two processes at once
			s.Merge(i)
		}
	}
	table := NewRoutingTable(s)
	c.Check(table.Quotas["desk"], qt.HasLen, 2)
	c.Check(table.Quotas["desk"][0], qt.Equals, Quota{Name: "s1", Service: "desk", CallerHeader: "X-Agency", Caller: "a", Rate: 5, Burst: 5, Fraction: 0.5, Version: 4})
	c.Check(table.Inactive, qt.HasLen, 2)
	raw, err := s.EncodeChange()
	c.Assert(err, qt.IsNil)
	items, err := ParseChange([]byte(`{"set-items":` + string(raw) + `}`))
	c.Assert(err, qt.IsNil)
	c.Check(items, qt.HasLen, 6)
}
