package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
)

// A made-up list of kinds and site file in the benchmark's formats.
const listText = `Every row has 'at' (s) and 'kind'. for_s: how long (4). gap_s: pause (2). share: a part; count: a number instead.
zone, service, class: where; left out, drawn. on: the class of boats (tug); core means the ones that count.
'plan' holds what is planned, 'faults' the rest.
For servers, 'how' may also hold wide (of all) and full (none spared). For machines, 'how' may also hold captain (the one that acted (last)), mate or cook. After these may stand twice (two at once), again (and again) and, for tow, slowly (one by one). Cuts are silent unless 'how' holds loud or clear.
closing = { kind = dark_all | wet_all, down_s } strikes at the end (how early: before the answer; how late: after it)

leak: share (.2) of a service's servers fail for for_s; how: slow (drips), gone (for good)
swap: share (.4) are changed, x (1) at a time, each gap_s
strand: share (.1) of the machines: SIGKILL; how: dark (for for_s); how dry: the ebb's (+ far: at once; + deep: later)
strand_still: share (.1) lie still
tow: share (1) get SIGTERM, x (1) at a time; how: out (they leave)
fog: count (1) counted machines are cut off from the others; how: half, part (some (a few) only)
paper: how: lines weights
spoil: count (1), each gap_s; how: torn empty
reuse: share (.1) go for good (how: slowly, they drain); others come
grade: share (.1) fail x (.4); how: rude mute, late (x (8) times), + beside (only some)
calm: nothing to it unless how: warm
`

const siteText = `name = "pond"
length_s = 20.0
zones = [ { name = "east", region = "e" }, { name = "west", region = "w" } ]
services = [ { name = "ferry" }, { name = "mail" } ]
classes = [ { name = "ask" } ]
troubles = [ { kind = "strand", on = "core", count = 1, how = "captain twice" }, { kind = "grade", x = 0.5, share = 0.1, for_s = 4.0, zone = "east" } ]
[config]
invalid = ["torn", "upside_down"]
[[day]]
name = "one"
slot = "quiet"
seed = 4
one = 0.9
goal = { floor = 0.4 }
floor_zones = [0.3]
closing = { kind = "dark_all", down_s = 1.0, how = "aimed" }
plan = [ { at = 1.0, kind = "paper", how = "lines" }, { at = 1.0, kind = "swap", x = 8.0, share = 0.2 }, { at = 2, kind = "spoil", count = 2 }, { at = 2, kind = "tow" }, { at = 2, kind = "calm" } ]
faults = [ { at = 3.0, kind = "leak", service = "mail" }, { at = 3.5, kind = "fog", how = "captain" }, { at = 4, kind = "reuse" }, { at = 4, kind = "strand_still" } ]
traffic = [ { zone = "east", per_s = 3.0, mix = { ask = 1.5 } } ]
[[day]]
name = "two"
goal = { floor = 0.5 }
plan = []
faults = [ { at = 3.0, kind = "strand" }, { at = 5.0, kind = "grade", how = "mute" } ]
`

func newTestGenerator(t *testing.T) *Generator {
	t.Helper()
	kinds, err := ParseCatalog(listText)
	qt.Assert(t, err, qt.IsNil)
	site, err := ParseSite(siteText)
	qt.Assert(t, err, qt.IsNil)
	d, err := NewGenerator(kinds, site)
	qt.Assert(t, err, qt.IsNil)
	return d
}

// The catalog has the variants of the list, without remarks in parentheses, its defaults and fields, and the kinds that extra variants
// apply to.
func TestParseCatalog(t *testing.T) {
	c := newTestGenerator(t).Catalog
	for name, variants := range map[string][]string{
		"leak": {"slow", "gone"}, "swap": {}, "strand": {"dry", "far", "deep", "dark"}, "strand_still": {}, "tow": {"out"}, "fog": {"half", "part"}, "paper": {"lines", "weights"},
		"spoil": {"torn", "empty"}, "reuse": {"slowly"}, "grade": {"rude", "mute", "late", "beside"}, "calm": {"warm"},
	} {
		k, ok := c.Kind(name)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf(name))
		qt.Check(t, k.Variants, qt.DeepEquals, variants, qt.Commentf(name))
		qt.Check(t, k.TargetsMachines, qt.Equals, slices.Contains([]string{"strand", "strand_still", "tow", "fog"}, name), qt.Commentf(name))
	}
	qt.Check(t, len(c.Kinds), qt.Equals, 11)
	leak, _ := c.Kind("leak")
	qt.Check(t, leak.Defaults["share"], qt.Equals, 0.2)
	qt.Check(t, c.Defaults, qt.DeepEquals, map[string]float64{"for_s": 4, "gap_s": 2})
	qt.Check(t, c.Fields, qt.DeepEquals, []string{"class", "count", "for_s", "gap_s", "on", "service", "share", "x", "zone"})
	qt.Check(t, c.ServerVariants, qt.DeepEquals, []string{"wide", "full"})
	qt.Check(t, c.Roles, qt.DeepEquals, []string{"captain", "mate", "cook"})
	qt.Check(t, c.Suffixes, qt.DeepEquals, []string{"again", "slowly", "twice"})
	qt.Check(t, c.SuffixKinds, qt.DeepEquals, map[string][]string{"slowly": {"tow"}})
	qt.Check(t, c.LinkVariants, qt.DeepEquals, []string{"loud", "clear"})
	qt.Check(t, c.Closings, qt.DeepEquals, []string{"dark_all", "wet_all"})
	qt.Check(t, c.ClosingVariants, qt.DeepEquals, []string{"early", "late"})
}

// The same seed generates the same scenario, and different seeds generate different scenarios.
func TestSameSeedSameScenario(t *testing.T) {
	seen := map[string]uint64{}
	for seed := uint64(1); seed <= 200; seed++ {
		one, err := newTestGenerator(t).Generate(seed, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		two, err := newTestGenerator(t).Generate(seed, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, one.TOML(), qt.Equals, two.TOML())
		other, duplicate := seen[one.TOML()]
		qt.Assert(t, duplicate, qt.IsFalse, qt.Commentf("seeds %d and %d", seed, other))
		seen[one.TOML()] = seed
	}
}

// The first SingleKinds seeds cover each kind by itself with each of its variants, and each closing fault as well as none. Later seeds
// generate scenarios with up to three kinds, in which each kind is combined with others and occurs repeatedly.
func TestEveryKindIsGenerated(t *testing.T) {
	d := newTestGenerator(t)
	alone, closings, repeated, mixed := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for seed := 1; seed <= d.SingleKinds()+300; seed++ {
		sc, err := d.Generate(uint64(seed), 0, nil)
		qt.Assert(t, err, qt.IsNil)
		entries := append(slices.Clone(sc.Plan), sc.Faults...)
		kinds := lo.CountValuesBy(entries, Entry.Kind)
		if seed <= d.SingleKinds() {
			qt.Assert(t, len(kinds), qt.Equals, 1)
			alone[entries[0].Kind()+" "+strings.Join(entries[0].Variant(), " ")] = true
			closings[sc.Closing.Kind()] = true
			continue
		}
		qt.Assert(t, len(kinds) >= 1 && len(kinds) <= 3, qt.IsTrue, qt.Commentf("seed %d: %v", seed, kinds))
		for k, n := range kinds {
			mixed[k] = mixed[k] || len(kinds) > 1
			repeated[k] = repeated[k] || n > 1
		}
	}
	for _, k := range d.Kinds {
		for _, variant := range append(k.Variants, "") {
			qt.Check(t, alone[k.Name+" "+variant], qt.IsTrue, qt.Commentf("%s %q", k.Name, variant))
		}
		qt.Check(t, mixed[k.Name] && repeated[k.Name], qt.IsTrue, qt.Commentf("%s", k.Name))
	}
	for _, variant := range []string{"strand captain", "strand mate", "strand captain twice", "fog loud", "fog clear", "fog cook", "leak wide", "leak full", "tow slowly",
		"spoil upside_down"} {
		qt.Check(t, alone[variant], qt.IsTrue, qt.Commentf(variant))
	}
	for _, variant := range []string{"strand slowly", "leak captain", "strand loud", "paper captain"} {
		qt.Check(t, alone[variant], qt.IsFalse, qt.Commentf(variant))
	}
	qt.Check(t, closings, qt.DeepEquals, map[string]bool{"": true, "dark_all": true, "wet_all": true})
}

// A scenario file is valid TOML with the generated entries in the right lists and within bounds. It has the traffic of a template and
// the site's lowest floors, but no fields that apply only to the template's own entries.
func TestScenarioFile(t *testing.T) {
	d := newTestGenerator(t)
	traffic := 0
	for seed := uint64(1); seed <= 500; seed++ {
		sc, err := d.Generate(seed, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		var all map[string]any
		_, err = toml.Decode(sc.TOML(), &all)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", sc.TOML()))
		read := tableList(all["day"])
		qt.Assert(t, len(read), qt.Equals, 1)
		for field, entries := range map[string][]Entry{"plan": sc.Plan, "faults": sc.Faults} {
			got := tableList(read[0][field])
			qt.Assert(t, len(got), qt.Equals, len(entries))
			for i, g := range got {
				qt.Assert(t, g, qt.DeepEquals, map[string]any(entries[i]))
				qt.Assert(t, d.Planned[Entry(g).Kind()], qt.Equals, field == "plan")
				at := numberValue(g["at"])
				qt.Assert(t, at >= 20*earliestStart && at <= 20*latestStart, qt.IsTrue)
				qt.Assert(t, numberValue(g["share"]) <= 1, qt.IsTrue)
			}
		}
		qt.Assert(t, read[0]["seed"], qt.Equals, int64(seed))
		qt.Assert(t, read[0]["goal"], qt.DeepEquals, map[string]any{"floor": 0.4})
		qt.Assert(t, read[0]["floor_zones"], qt.DeepEquals, []any{0.3})
		_, marked := read[0]["one"]
		qt.Assert(t, marked, qt.IsFalse)
		if l := tableList(read[0]["traffic"]); len(l) > 0 {
			traffic++
			qt.Assert(t, l[0], qt.DeepEquals, map[string]any{"zone": "east", "per_s": 3.0, "mix": map[string]any{"ask": 1.5}})
		}
	}
	qt.Check(t, traffic > 100 && traffic < 400, qt.IsTrue, qt.Commentf("%d of 500 scenarios have traffic; one of the two templates has", traffic))
}

// Check rejects scenarios that the benchmark would reject or ignore, and its errors give the position.
func TestCheck(t *testing.T) {
	d := newTestGenerator(t)
	for name, c := range map[string]struct {
		scenario Scenario
		want     string
	}{
		"unknown kind":     {Scenario{Faults: []Entry{{"at": 1.0, "kind": "whale"}}}, `scenario .*, faults 1: kind "whale" is not one of the kinds of site pond.*`},
		"no kind":          {Scenario{Faults: []Entry{{"at": 1.0}}}, `.*kind "" is not one of the kinds.*`},
		"unknown field":    {Scenario{Faults: []Entry{{"at": 1.0, "kind": "leak", "depth": 1.0}}}, `.*leak: field "depth" is not one of.*`},
		"unknown variant":  {Scenario{Faults: []Entry{{"at": 1.0, "kind": "leak", "how": "slow captain"}}}, `.*leak: how "captain" is not one of slow, gone, wide, full`},
		"foreign suffix":   {Scenario{Faults: []Entry{{"at": 1.0, "kind": "strand", "how": "mate slowly"}}}, `.*strand: how "slowly" is not one of.*`},
		"no such zone":     {Scenario{Faults: []Entry{{"at": 1.0, "kind": "leak", "zone": "north"}}}, `.*leak: zone "north" is not one of east, west`},
		"no start":         {Scenario{Faults: []Entry{{"kind": "leak"}}}, `.*at is missing: an entry needs a start in seconds`},
		"too early":        {Scenario{Faults: []Entry{{"at": -1.0, "kind": "leak"}}}, `.*at -1 is below 0`},
		"after the day":    {Scenario{Faults: []Entry{{"at": 1.0, "kind": "leak"}, {"at": 20.0, "kind": "leak"}}}, `.*faults 2: at 20 is not before the end of the scenario \(20 s\)`},
		"share over 1":     {Scenario{Faults: []Entry{{"at": 1.0, "kind": "leak", "share": 1.5}}}, `.*share 1.5 is out of range.*`},
		"fractional count": {Scenario{Faults: []Entry{{"at": 1.0, "kind": "fog", "count": 1.5}}}, `.*count 1.5 is out of range.*`},
		"wrong list":       {Scenario{Plan: []Entry{{"at": 1.0, "kind": "leak"}}}, `.*plan 1: kind leak is in the wrong list \(planned work belongs in plan, faults in faults\)`},
		"unknown closing":  {Scenario{Closing: Entry{"kind": "storm"}}, `.*closing kind "storm" is not one of dark_all, wet_all`},
		"closing's how":    {Scenario{Closing: Entry{"kind": "wet_all", "how": "slow"}}, `.*closing how "slow" is not one of early, late, aimed`},
		"closing's field":  {Scenario{Closing: Entry{"kind": "wet_all", "at": 3.0}}, `.*closing field "at" is not one of kind, down_s, how`},
		"closing's length": {Scenario{Closing: Entry{"kind": "wet_all", "down_s": 0.0}}, `.*closing down_s 0 is not above 0`},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, d.Check(c.scenario), qt.ErrorMatches, c.want)
		})
	}
	_, err := d.Generate(0, 0, nil)
	qt.Check(t, err, qt.ErrorMatches, "seed is 0: seeds start at 1")
}

// Scenarios contain the requested entries unchanged and draw the rest; errors give the line and the field.
func TestRequests(t *testing.T) {
	d := newTestGenerator(t)
	requests, err := d.ParseRequests("# a remark\nstrand on=core count=1 how=captain,twice at=4.5 + paper how=lines # and one here\n? whale + paper\n\nleak + closing=wet_all how=late\npaper + closing=none\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(requests), qt.Equals, 3)
	for seed := uint64(1); seed <= 60; seed++ {
		for mix := range 4 {
			sc, err := d.Generate(seed, mix, requests)
			qt.Assert(t, err, qt.IsNil)
			kinds := lo.Uniq(lo.Map(append(slices.Clone(sc.Plan), sc.Faults...), func(e Entry, _ int) string { return e.Kind() }))
			switch seed % 3 {
			case 1:
				strands := lo.Filter(sc.Faults, func(e Entry, _ int) bool { return e.Kind() == "strand" && e["at"] == 4.5 })
				qt.Assert(t, len(strands), qt.Equals, 1)
				qt.Assert(t, strands[0]["how"], qt.Equals, "captain twice")
				qt.Assert(t, strands[0]["count"], qt.Equals, int64(1))
				qt.Assert(t, strands[0]["share"], qt.IsNil)
				qt.Assert(t, slices.Contains(kinds, "paper"), qt.IsTrue)
			case 2:
				qt.Assert(t, sc.Closing, qt.DeepEquals, Entry{"kind": "wet_all", "how": "late", "down_s": 1.0})
			case 0:
				qt.Assert(t, len(sc.Closing), qt.Equals, 0)
				if mix < 2 {
					qt.Assert(t, kinds, qt.DeepEquals, []string{"paper"})
				}
			}
		}
	}
	for text, want := range map[string]string{
		"":                               "requests: the text contains none",
		"paper\nwhale x=1":               `requests, line 2: kind "whale" is not one of the kinds.*`,
		"leak share":                     `requests, line 1: "share" is not of the form field=value`,
		"leak share=2":                   `requests, line 1: leak: share 2 is out of range.*`,
		"leak share=0.1 share=0.2":       `requests, line 1: duplicate field "share"`,
		"fog count=few":                  `requests, line 1: count "few" is not a 32-bit whole number`,
		"leak how=gone,captain":          `requests, line 1: leak: how "captain" is not one of.*`,
		"leak + closing=storm":           `requests, line 1: closing kind "storm".*`,
		"closing=none + closing=wet_all": `requests, line 1: request has more than one closing term`,
	} {
		_, err := d.ParseRequests(text)
		qt.Check(t, err, qt.ErrorMatches, want, qt.Commentf(text))
	}
}

// Errors give the position of invalid input. A kind that no scenario shows to be planned work or a fault is rejected until the site
// learns it from another one.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"empty":       {"", `kinds: none of the lines \(1\) defines a kind.*`},
		"no closing":  {"leak: share (.1) fail", "kinds: no line lists the closing faults.*"},
		"named twice": {listText + "leak: again", `kinds, line 18: duplicate kind leak`},
	} {
		_, err := ParseCatalog(c.text)
		qt.Check(t, err, qt.ErrorMatches, c.want, qt.Commentf(name))
	}
	for name, c := range map[string]struct{ text, want string }{
		"not TOML":    {"name = \"pond\"\nzones = [", "site, line 2: .*"},
		"no length":   {"name = \"pond\"", "site: name and length_s .*"},
		"no zones":    {"name = \"pond\"\nlength_s = 3.0", "site: zones and services are required.*"},
		"no days":     {strings.Split(siteText, "[[day]]")[0], `site: no \[\[day\]\] to use as a template`},
		"no kind":     {strings.Replace(siteText, `kind = "spoil", `, "", 1), "site: day 1, plan 3: kind is missing"},
		"no kind, 2":  {strings.Replace(siteText, `kind = "strand", on`, "on", 1), "site: troubles 1: kind is missing"},
		"zone's form": {strings.Replace(siteText, `{ name = "east", region = "e" }, { name = "west", region = "w" }`, `"east"`, 1), "site: zones and services.*"},
	} {
		_, err := ParseSite(c.text)
		qt.Check(t, err, qt.ErrorMatches, c.want, qt.Commentf(name))
	}
	kinds, err := ParseCatalog(listText + "whale: share (.1) are swallowed\n")
	qt.Assert(t, err, qt.IsNil)
	site, err := ParseSite(siteText)
	qt.Assert(t, err, qt.IsNil)
	_, err = NewGenerator(kinds, site)
	qt.Check(t, err, qt.ErrorMatches, "kind whale: no scenario of site pond.*")
	other, err := ParseSite(strings.Replace(strings.Replace(siteText, "pond", "lake", 1), `kind = "swap"`, `kind = "whale"`, 1))
	qt.Assert(t, err, qt.IsNil)
	site.LearnFrom(other)
	d, err := NewGenerator(kinds, site)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, d.Planned["whale"] && d.Planned["swap"], qt.IsTrue)
}

// An incomplete journal entry is an error. The line and the table of results show rule violations, faults and failed gates.
func TestRunResult(t *testing.T) {
	entry := func(days string) string {
		return fmt.Sprintf(`{"id":"0a1b2c3d","head":"f00","site":"pond","error":null,"days":[%s]}`, days)
	}
	good := `{"G":0.8,"name":"own-1-leak","seed":1,"troubles":["leak"],"score":0.8,"rules":{},"fault":null,"gate":true,"short":[],"served":0.9}`
	bad := `{"G":0.4,"name":"own-2-leak-fog","seed":2,"troubles":["leak","fog","fog"],"score":0,"rules":{"TWICE":2,"LOST":1},"fault":"a process ended","gate":false,"short":["too little"],"served":0.5}`
	one, err := ParseRunResult([]byte(entry(good)))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, one.Failed(), qt.IsFalse)
	two, err := ParseRunResult([]byte(entry(bad)))
	qt.Assert(t, err, qt.IsNil)
	two.Closing = "wet_all late"
	qt.Check(t, two.Failed(), qt.IsTrue)
	two.NotStarted = newTestGenerator(t).NotStarted(`what happened
    8.18 s to     9.18 s  tow (out) 
   13.67 s to    16.67 s  paper (lines) 
    4.99 s to     6.0 s  strand a-1, a-2 and 3 more
    4.99 s to     6.0 s  strand (captain twice) 
    5.0 s to      6.0 s  leak (gone) 2 servers
    -1.0 s to      6.0 s  leak
the list was not settled: 1.0 s to 2.0 s
`)
	qt.Check(t, two.NotStarted, qt.DeepEquals, []string{"tow (out)", "strand (captain twice)", "leak"})
	qt.Check(t, two.String(), qt.Matches, `pond +2  0\.40  served 0\.500  gate failed own-2-leak-fog, closing wet_all late  BROKEN LOST 1, TWICE 2  FAULT a process ended  \(no effect: tow \(out\), strand \(captain twice\), leak\)  SHORT too little`)
	var table strings.Builder
	FormatTable(&table, []RunResult{one, two})
	lines := strings.Split(strings.TrimSpace(table.String()), "\n")
	for i, want := range []string{`site +kind +days +broken +faults +gate failed +worth lowest`, `pond +all +2 +1 +1 +1 +0\.60 +0\.40`, `pond +closing none +1 +0 +0 +0 +0\.80 +0\.80`,
		`pond +closing wet_all late +1 +1 +1 +1 +0\.40 +0\.40`, `pond +fog +1 +1 +1 +1 +0\.40 +0\.40`, `pond +leak +2 +1 +1 +1 +0\.60 +0\.40`} {
		qt.Check(t, lines[i], qt.Matches, want)
	}
	for text, wantErr := range map[string]string{
		`{`:                     "journal entry: .*",
		entry(""):               "journal entry 0a1b2c3d: found 0 days, expected one",
		entry(good + "," + bad): "journal entry 0a1b2c3d: found 2 days, expected one",
		entry(`{"G":1}`):        "journal entry 0a1b2c3d: days.0..name or head is missing",
		`{"id":"9","error":"it can't be read","days":[]}`: "journal entry 9: it can't be read",
	} {
		_, err := ParseRunResult([]byte(text))
		qt.Check(t, err, qt.ErrorMatches, wantErr, qt.Commentf(text))
	}
}

// Parsing and generating must not hang or panic on any input.
func FuzzGenerate(f *testing.F) {
	f.Add(listText, siteText, uint64(3))
	f.Add("leak: how: ((a\nclosing = { kind = b }", siteText, uint64(9))
	f.Add("leak: share (.1); how: x\nclosing = { kind = b | c, down_s } how d: e", strings.ReplaceAll(siteText, "strand", "leak"), uint64(200))
	f.Fuzz(func(t *testing.T, list, site string, seed uint64) {
		kinds, err := ParseCatalog(list)
		if err != nil {
			return
		}
		s, err := ParseSite(site)
		if err != nil {
			return
		}
		d, err := NewGenerator(kinds, s)
		if err != nil {
			return
		}
		if sc, err := d.Generate(seed, 0, nil); err == nil {
			sc.TOML()
		}
	})
}
