package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
)

// A file of messages must be printed and ranked; for a truncated file, the error must name the offset of the cut message.
func TestFlowsCommands(t *testing.T) {
	e := &ipfix.Encoder{Enterprise: ipfix.Documentation, Names: ipfix.Names{Carriers: []string{"rila", "dunav"}}}
	b := e.Templates(nil, 1e18)
	templatesEnd := len(b)
	b, _ = e.Data(b, 1e18, []flow.Record{{Label: flow.Label{Carrier: 1}, Counts: flow.Counts{Forward: 10, Commands: 2}, Count: 1},
		{Label: flow.Label{Carrier: 2}, Counts: flow.Counts{Forward: 500, Commands: 1}, Count: 7}}, 1<<16)
	path := filepath.Join(t.TempDir(), "flows")
	for _, c := range []struct {
		octets int
		line   string
		code   int
		want   string
	}{
		{len(b), "flows decode " + path, 0, "dunav"},
		{len(b), "flows decode --json " + path, 0, `"CarrierName":"rila"`},
		{len(b), "flows top " + path, 0, "dunav    1         500\nrila     2         10"},
		{len(b), "flows top --by moon " + path, 2, "moon"},
		{len(b) - 1, "flows decode " + path, 1, fmt.Sprint("octet ", templatesEnd)},
		{3, "flows top " + path, 1, "octet 0"},
	} {
		os.WriteFile(path, b[:c.octets], 0o600)
		var out bytes.Buffer
		if code := run(strings.Fields(c.line), &out, &out); code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s of %d octets: got exit code %d, output %s", c.line, c.octets, code, out.String())
		}
	}
}

// An invalid command line must end with exit code 2 and a failed command with 1, each with a message that names the cause.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.star")
	os.WriteFile(bad, []byte("site(\n storm = storm(memory = 1))"), 0o600)
	for line, want := range map[string]struct {
		code int
		text string
	}{
		"version":                                {0, "portflow devel"},
		"schema":                                 {0, `"ceiling"`},
		"completion bash":                        {0, "__portflow"},
		"check --site " + bad:                    {1, "bad.star:2: site.storm.memory: minimum"},
		"check --config /nowhere":                {1, "/nowhere"},
		"serve --log loud":                       {2, "--log"},
		"serve further":                          {2, "further"},
		"sreve":                                  {2, "sreve"},
		"":                                       {2, "no command"},
		"check --site ../../deploy/service.star": {0, ""},
	} {
		var out bytes.Buffer
		if code := run(strings.Fields(line), &out, &out); code != want.code || !strings.Contains(out.String(), want.text) {
			t.Errorf("%q: got exit code %d, output %s", line, code, out.String())
		}
	}
}
