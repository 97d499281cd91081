package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A line that can't be understood ends with 2, what fails with 1; each says why.
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
			t.Errorf("%q: %d, %s", line, code, out.String())
		}
	}
}
