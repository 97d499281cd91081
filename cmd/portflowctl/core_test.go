package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/control/server"
)

// Each core command sends the expected call and prints the response. Missing arguments and calls rejected by control are errors.
func TestCoreCommands(t *testing.T) {
	var sent []string
	answers := map[string]any{
		"core.read": server.CoreStatus{Node: "n1", Status: "in touch", Current: true, Epoch: 7, Index: 41, Tolerates: 1, ToleratedZones: []string{"z1", "z2"},
			Members:  []server.CoreMember{{Name: "n1", IP: "10.0.0.1", Heard: true, CaughtUp: true}, {Name: "n2", IP: "10.0.0.2", SilentSeconds: 4.2}},
			Learners: []server.CoreMember{{Name: "n3", IP: "10.0.0.3", Heard: true}}, Excluded: []server.CoreMember{{Name: "n9"}},
			Tolerance: server.CoreTolerance{Baseline: 2, SinceSeconds: 4.2, Lost: []string{"10.0.0.2"}}},
		"core.change":  server.CoreChangeResult{Epoch: 7, Members: []string{"n1", "n3"}, Tolerates: [2]int{1, -1}, ToleratedZones: [2][]string{{"z1"}, nil}},
		"core.recover": server.CoreRecovery{Node: "n1", ConfirmPhrase: "epoch 7 number 41", Losses: []string{"the vote of n2"}},
	}
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.URL.Query().Get("call")
		body, _ := io.ReadAll(r.Body)
		sent = append(sent, call+" "+string(body))
		if strings.Contains(string(body), "refuse me") {
			w.WriteHeader(http.StatusBadRequest)
			io.WriteString(w, `{"error":"invalid","reason":"the core would bear no loss"}`)
			return
		}
		json.NewEncoder(w).Encode(answers[call])
	}))
	defer ts.Close()
	address := strings.TrimPrefix(ts.URL, "http://")
	for name, test := range map[string]struct {
		args       []string
		wantSent   string
		wantOutput []string
		err        string
	}{
		"list": {nil, "core.read ", []string{"epoch 7, index 41", "bears: 1 members, or any one of the zones [z1 z2]", "reduced 4.2 s ago, 2 losses before; unavailable members: 10.0.0.2", "LEARNER", "EXCLUDED PROCESS", "n9"}, ""},
		"remove, dry run": {[]string{"remove", "--dry-run", "n2"}, `core.change {"do":"remove","who":"n2","with":"","dry":true,"force":false}`,
			[]string{"dry run: epoch 7, members n1, n3", "1 members, or any one of the zones [z1] before, no quorum afterwards"}, ""},
		"flag after the argument":        {[]string{"remove", "n2", "--dry-run"}, `core.change {"do":"remove","who":"n2","with":"","dry":true,"force":false}`, nil, ""},
		"add with force":                 {[]string{"add", "--force", "n3"}, `core.change {"do":"add","who":"n3","with":"","dry":false,"force":true}`, nil, ""},
		"replace":                        {[]string{"replace", "n2", "n3"}, `core.change {"do":"replace","who":"n2","with":"n3","dry":false,"force":false}`, nil, ""},
		"replace without the new member": {[]string{"replace", "n2"}, "", nil, ".*missing"},
		"nobody":                         {[]string{"remove"}, "", nil, ".*missing"},
		"refused":                        {[]string{"remove", "refuse me"}, `core.change {"do":"remove","who":"refuse me","with":"","dry":false,"force":false}`, nil, "the core would bear no loss"},
		"unknown command":                {[]string{"burn"}, "", nil, `core: unknown command "burn"; must be remove, add, replace or recover`},
		"recover":                        {[]string{"recover"}, `core.recover {"confirm":"","force":false}`, []string{"- the vote of n2", `--confirm "epoch 7 number 41"`}, ""},
		"recover, confirmed":             {[]string{"recover", "--confirm", "epoch 7 number 41"}, `core.recover {"confirm":"epoch 7 number 41","force":false}`, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent = nil
			var out bytes.Buffer
			err := newApp(&out).Run(context.Background(), append([]string{"portflowctl", "--control", address, "core"}, test.args...))
			if test.err == "" {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorMatches, test.err)
			}
			c.Check(strings.Join(sent, "\n"), qt.Equals, test.wantSent)
			for _, wantOutput := range test.wantOutput {
				c.Check(out.String(), qt.Contains, wantOutput)
			}
		})
	}
	err := newApp(io.Discard).Run(context.Background(), []string{"portflowctl", "--control", address + "," + address, "core", "recover"})
	qt.Check(t, err, qt.ErrorMatches, "--control: must name exactly one control process.*")
}
