package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"portflow/internal/proxy"
)

// watchProxies checks all proxies ten times a second: none may go back to an older version, or apply a change of several routes only
// partly. It probes which of several conflicting contents is in force.
func (rc *recorder) watchProxies(stop chan bool, client *http.Client) {
	seen := map[*proxy.Proxy]map[string]uint64{}
	probes := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, proxyNode := range rc.cluster.Proxies {
			rc.cluster.mu.Lock()
			running, up := proxyNode.Running, proxyNode.cancel != nil
			rc.cluster.mu.Unlock()
			if !up {
				continue
			}
			versions := running.RouteVersions()
			rc.mu.Lock()
			old := seen[running]
			for name, v := range old {
				if versions[name] < v {
					rc.violation("a proxy went back", "%s: %s from %d to %d", proxyNode.Settings.Name, name, v, versions[name])
				}
			}
			seen[running] = versions
			for _, ch := range rc.changes {
				if at := slices.IndexFunc(ch.items, func(c content) bool { return c.conflict < 0 && versions[fmt.Sprint("r", c.route)] == c.version }); at >= 0 {
					for _, c := range ch.items {
						if versions[fmt.Sprint("r", c.route)] < c.version {
							rc.violation("change partly applied at a proxy", "change %d at %s: r%d is at %d", ch.id, proxyNode.Settings.Name, c.route, versions[fmt.Sprint("r", c.route)])
						}
					}
				}
			}
			var toProbe []content
			for _, c := range rc.contents[1:] {
				if c.conflict >= 0 && c.prefix != "" && versions[fmt.Sprint("r", c.route)] == c.version {
					k := fmt.Sprint(proxyNode.Settings.Name, c.id)
					if probes[k]++; probes[k] == 1 || probes[k] == 12 {
						toProbe = append(toProbe, c)
					}
				}
			}
			rc.mu.Unlock()
			for _, c := range toProbe {
				if !rc.probePrefix(client, proxyNode, c) { // probe again in the next round
					rc.mu.Lock()
					probes[fmt.Sprint(proxyNode.Settings.Name, c.id)]--
					rc.mu.Unlock()
				}
			}
		}
	}
}

// probePrefix requests a content's prefix from a proxy, and reports whether the response is conclusive. 404 means that the content isn't
// in force there; 503 means nothing, as a proxy that has just started answers all requests with it.
func (rc *recorder) probePrefix(client *http.Client, proxyNode *ProxyNode, c content) bool {
	req, _ := http.NewRequest("GET", "http://"+proxyNode.Settings.ListenAddresses["front"]+c.prefix+"x", nil)
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", "safe-probe")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode == 404 || resp.StatusCode == 503 {
		return resp.StatusCode == 404
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.active[c.id] = proxyNode.Settings.Name
	return true
}

// checkAgreement reads the configuration of all control processes and proxies, which must agree, and returns it.
func (rc *recorder) checkAgreement(when string) (agreed read) {
	for at := range rc.cluster.Controls {
		rd, ok := rc.readConfiguration(0, at)
		if !ok {
			rd, ok = rc.readConfiguration(1, at)
		}
		rc.mu.Lock()
		switch {
		case !ok:
			rc.violation("unanswered after settling", "%s: read at process %d", when, at)
		case at > 0 && rd.contents != agreed.contents && agreed.returnedAt > 0:
			rc.violation("processes disagree", "%s: %v at process %d, %v at process %d", when, agreed.contents, agreed.control, rd.contents, at)
		default:
			agreed = rd
		}
		rc.mu.Unlock()
	}
	for _, proxyNode := range rc.cluster.Proxies {
		versions := proxyNode.Running.RouteVersions()
		rc.mu.Lock()
		for rd, id := range agreed.contents {
			v, c := versions[fmt.Sprint("r", rd)], rc.contents[id]
			if id > 0 && v != c.version || id == 0 && v > 0 && !slices.ContainsFunc(rc.contents[1:], func(c content) bool {
				return c.route == rd && c.version == v && c.prefix == ""
			}) {
				rc.violation("a proxy disagrees", "%s: %s has r%d at %d, the control processes at %d", when, proxyNode.Settings.Name, rd, v, c.version)
			}
		}
		rc.mu.Unlock()
	}
	return agreed
}
