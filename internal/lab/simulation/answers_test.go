package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Responses that are not encoded from a struct keep their field names, which hosts, clients and operators read.
func TestResponseFormats(t *testing.T) {
	playScenario(t, smallLayout, 4*time.Second, func(c *qt.C, h *Cluster) {
		client := h.httpClient(h.Network.Process("10.1.201.3"), time.Second)
		defer client.CloseIdleConnections()
		call := func(z int, name, target, body string) string {
			status, answer, err := callRPC(context.Background(), client, h.Controls[z].Settings.ListenAddresses["control"], name, target, []byte(body))
			c.Assert(err, qt.IsNil)
			return fmt.Sprintf("%d %s", status, answer)
		}
		heartbeat := `{"address":"10.1.0.99:80","information":{"service":"unused","version":"v1","zone-name":"%s","slot-count":1},"current-status":{"sequence":1,"server-state":"ready"}}`
		c.Check(call(0, "instances.heartbeat", "here", fmt.Sprintf(heartbeat, zoneName(0))), qt.Equals, "200 {}")
		c.Check(call(0, "instances.heartbeat", "there", fmt.Sprintf(heartbeat, zoneName(1))), qt.Equals,
			fmt.Sprintf(`200 {"heartbeat-address":%q}`, h.Controls[1].Settings.ListenAddresses["control"]))
		c.Check(call(0, "instances.leave", "here", ""), qt.Equals, "200 ")
		c.Check(call(0, "rollouts.begin", "", `{"service":"desk","target-version":"v2","duration-s":60}`), qt.Equals, "200 ")
		c.Check(call(0, "rollouts.read", "desk", ""), qt.Equals, `200 {"server-state":"running","target-version":"v2"}`)
		c.Check(call(0, "rollouts.read", "none", ""), qt.Equals, `404 {"error":"missing","reason":"of: no rollout of \"none\""}`)
		c.Check(call(0, "evacuation.begin", zoneName(1), ""), qt.Equals, "200 ")
		c.Check(call(0, "evacuation.finish", zoneName(1), ""), qt.Equals, "200 ")
		c.Check(call(0, "configuration.modify", "", `{"set-items":{}}`), qt.Equals, "200 {}")

		resp, err := client.Get("http://" + h.Controls[0].Settings.ListenAddresses["directory"] + "/-/resolution?name=desk.example&zone-name=" + zoneName(0) + "&region-name=" + regionName(0))
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		var answer map[string]json.RawMessage
		c.Assert(json.Unmarshal(raw, &answer), qt.IsNil)
		c.Check(answer, qt.HasLen, 2, qt.Commentf("%s", raw))
		c.Check(strings.HasPrefix(string(answer["addresses"]), `["`), qt.IsTrue, qt.Commentf("%s", raw))
		c.Check(string(answer["lifetime-s"]), qt.Equals, "2", qt.Commentf("%s", raw))
	}, 0)
}
