package site

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"portflow/internal/retryguard"
)

// Errors must name the file, the line and the setting. Valid settings must be applied, and missing sections stay disabled.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"nothing":       {"site()", ""},
		"defaults":      {"site(storm = storm())", ""},
		"computed":      {"def h(n):\n  return seconds(n)\nsite(storm = storm(horizon = h(2), memory = kib(64)))", ""},
		"unknown field": {"site(\n storm = storm(\n  ceiling = 1,\n  celing = 2))", "f.star:4: site.storm.celing: no such setting"},
		"unknown part":  {"site(\n\n rain = {})", "f.star:3: site.rain: no such setting"},
		"absurd":        {"site(storm = storm(\n horizon = ms(1)))", "f.star:2: site.storm.horizon: minimum"},
		"wrong type":    {"site(storm = storm(\n on = 'yes'))", "f.star:2: site.storm.on: got string"},
		"missing":       {"x = 1", "f.star: site is never called"},
		"twice":         {"site()\nsite()", "f.star:2"},
		"syntax":        {"site(\n  storm = )", "f.star:2:"},
		"load":          {"load('x.star', 'y')\nsite()", "f.star"},
		"endless":       {"def f():\n  for i in range(1000000000):\n    pass\nf()", "too many steps"},
		"no number":     {"site(storm = storm(horizon = seconds('a')))", "f.star:1"},
		"huge":          {"site(storm = storm(horizon = seconds(1e300)))", "f.star:1"},
		"deep":          {"x = []\nx.append(x)\nsite(storm = x)", "levels"},
		"v9 over tcp":   {"site(flows = flows(collectors = ['udp://10.0.0.1:1',\n 'tcp://[::1]:2'], protocol = 'netflow9'))", "site.flows.collectors.1"},
		"no collector":  {"site(\n flows = flows(domain = 2))", "f.star:2: site.flows: missing"},
		"a function":    {"site(storm = storm(on = len))", "is not supported as a setting"},
	} {
		_, err := Parse("f.star", []byte(c.text))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	s, err := Parse("f", []byte("site(storm = storm(horizon = ms(750), ceiling = 1))"))
	want := retryguard.Defaults()
	want.Horizon, want.Ceiling = 750e6, 1
	if err != nil || *s.Storm != want {
		t.Error(s.Storm, err)
	}
	if s, err := Parse("f", []byte("site(storm = storm(on = False))")); err != nil || s.Storm != nil {
		t.Error(s.Storm, err)
	}
}

// The schema must have the settings of retryguard.Tuning, with the defaults of retryguard.Defaults.
func TestSchema(t *testing.T) {
	var s struct {
		Properties struct {
			Storm struct {
				Properties map[string]struct{ Default any }
			}
		}
	}
	if err := json.Unmarshal(Schema(), &s); err != nil {
		t.Fatal(err)
	}
	raw, _ := json.Marshal(retryguard.Defaults())
	var defaults map[string]any
	json.Unmarshal(raw, &defaults)
	for name, v := range defaults {
		if p, ok := s.Properties.Storm.Properties[name]; !ok || !reflect.DeepEqual(p.Default, v) {
			t.Errorf("%s: default %v in the schema, want %v", name, p.Default, v)
		}
	}
	if len(defaults) != len(s.Properties.Storm.Properties) {
		t.Error("the schema has settings that retryguard.Tuning does not have")
	}
}

// Parsing must terminate for any input, and must not accept settings outside the bounds of the schema.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"site()", "site(storm=storm(ceiling=1.5))", "site(storm=1)", "(", "def f(): f()\nf()", "site(storm={1:2})"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 1000 {
			return
		}
		if s, err := Parse("f.star", []byte(text)); err == nil && s.Storm != nil && (s.Storm.Ceiling > 2 || s.Storm.MemoryBytes < 4096) {
			t.Error(s.Storm)
		}
	})
}
