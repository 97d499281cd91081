package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/router/settings"
)

const memberJSON = `{"id":"s-1","host_port":"10.1.0.18:8081","locality":"b","flavor":"m2","cell":3,"phase":"Ready","size":1.5,"up_since_ms":1000,"image_id":41}`

func snapshotJSON(revision int, members string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, members)
}

var testSettings = settings.Settings{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}

func TestDecode(t *testing.T) {
	update, err := Decode([]byte(snapshotJSON(41, memberJSON)), testSettings)
	want := dispatch.Host{Name: "s-1", Address: "10.1.0.18:8081", Zone: 1, Kind: 1, Cell: 3, Health: decision.Ready, Build: 41,
		Capacity: 1.5, StartedAt: 1e9}
	if err != nil || update.Revision != 41 || update.Kind != decision.Snapshot || update.Hosts[0] != want {
		t.Fatal(update, err)
	}
	for _, raw := range []string{"", "{", "[]", snapshotJSON(1, ""), snapshotJSON(1, memberJSON+","+memberJSON), `{"complete":true,"members":[` + memberJSON + `]}`,
		snapshotJSON(1, strings.Replace(memberJSON, "Ready", "Asleep", 1)), snapshotJSON(1, strings.Replace(memberJSON, "s-1", "", 1)),
		snapshotJSON(1, strings.Replace(memberJSON, "10.1.0.18:8081", "", 1)), snapshotJSON(1, strings.Replace(memberJSON, "1000", "-1", 1)),
		snapshotJSON(1, strings.Replace(memberJSON, ":41}", ":70000}", 1))} {
		if update, err := Decode([]byte(raw), testSettings); err == nil {
			t.Errorf("no error for %s: got %v", raw, update)
		}
	}
}

// Invalid responses, errors, older revisions and empty lists must be ignored, and the call repeated.
func TestWatch(t *testing.T) {
	answers := []string{"{", snapshotJSON(0, ""), "status", snapshotJSON(41, memberJSON), `{"revision":40,"complete":false,"members":[]}`,
		snapshotJSON(42, memberJSON), `{"revision":43,"complete":false,"members":[` + strings.Replace(memberJSON, "Ready", "Gone", 1) + `]}`}
	requests := make(chan string, len(answers))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(requests)
		if n == len(answers) {
			<-r.Context().Done()
			return
		}
		requests <- r.URL.RequestURI()
		if answers[n] == "status" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, answers[n])
	}))
	defer s.Close()
	events := make(chan dispatch.Event, len(answers))
	w := New(strings.TrimPrefix(s.URL, "http://"), testSettings, zerolog.Nop(), func(e dispatch.Event) { events <- e })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	for i, health := range []decision.Health{decision.Ready, decision.Ready, decision.Gone} {
		if change := (<-events).(dispatch.HostsChanged); change.Hosts[0].Health != health || (i == 2) != (change.Kind == decision.Delta) {
			t.Error(i, change)
		}
	}
	for i, want := range []string{"", "", "", "", "?index=41&wait=3000", "", "?index=42&wait=3000"} {
		if got := <-requests; got != "/api/targets"+want {
			t.Errorf("call %d: got %s", i, got)
		}
	}
}

// startDiscovery starts a service that responds to calls for the complete list, and never to calls for changes. If answer is
// empty, it never responds.
func startDiscovery(t *testing.T, answer string) (address string, requests chan string) {
	requests = make(chan string, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests <- r.URL.RequestURI(); answer == "" || r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, answer)
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

// At the start and after failed calls, a router must request only the changes since the list that it has: requests of all routers for
// the complete list would overload the service.
func TestFetchChangesAfterFailure(t *testing.T) {
	answers := []string{"", "{", `{"revision":42,"complete":false,"members":[]}`, ""}
	requests, allRequested := make(chan string, 16), make(chan bool, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(requests)
		if requests <- r.URL.RequestURI(); n >= len(answers) {
			allRequested <- true
			<-r.Context().Done()
		} else if answers[n] == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			fmt.Fprint(w, answers[n])
		}
	}))
	defer s.Close()
	for _, subscribe := range []bool{false, true} {
		config := testSettings
		config.Subscribe = subscribe
		events := make(chan dispatch.Event, 16)
		w := New(strings.TrimPrefix(s.URL, "http://"), config, zerolog.Nop(), func(e dispatch.Event) { events <- e })
		w.SetKnown(41)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { w.Run(ctx); close(done) }()
		go func() {
			for subscribe {
				w.Watch(true)
				if <-events == nil {
					return
				}
			}
		}()
		<-allRequested
		cancel()
		<-done
		if subscribe {
			events <- nil
		}
		for i, want := range []string{"41", "41", "41", "42", "42"} {
			if got := <-requests; got != "/api/targets?index="+want+"&wait=3000" {
				t.Errorf("subscribe %v: call %d: got %s", subscribe, i, got)
			}
		}
	}
}

// SetAddress must cancel the pending call. The complete list from the new address must be accepted whatever its revision.
func TestSetAddress(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		old, oldRequests := startDiscovery(t, snapshotJSON(41, memberJSON))
		next, nextRequests := startDiscovery(t, snapshotJSON(7, strings.Replace(memberJSON, "Ready", "Terminating", 1)))
		events := make(chan dispatch.Event, 16)
		s := testSettings
		s.Subscribe = subscribe
		w := New(old, s, zerolog.Nop(), func(e dispatch.Event) { events <- e })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.Run(ctx)
		if subscribe {
			w.Watch(true)
		}
		if change := (<-events).(dispatch.HostsChanged); change.Hosts[0].Health != decision.Ready {
			t.Error(change)
		}
		<-oldRequests
		<-oldRequests // the long poll
		w.SetAddress("127.0.0.1:1")
		w.SetAddress(next)
		if change := (<-events).(dispatch.HostsChanged); change.Kind != decision.Snapshot || change.Hosts[0].Health != decision.Draining {
			t.Error(change)
		}
		if first, second := <-nextRequests, <-nextRequests; strings.Contains(first, "index") || !strings.Contains(second, "index=7") {
			t.Error(first, second)
		}
		if len(oldRequests) > 0 {
			t.Error("request to the old address", <-oldRequests)
		}
	}
}

// A response that is cut off, on a connection that stays open, must time out, and the call must be repeated on another connection.
func TestTruncatedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			go func() {
				for n == 0 { // the first connection never gets a complete response
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{")
				}
				http.ReadRequest(bufio.NewReader(c))
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(snapshotJSON(1, memberJSON)), snapshotJSON(1, memberJSON))
			}()
		}
	}()
	events := make(chan dispatch.Event, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	go New(l.Addr().String(), testSettings, zerolog.Nop(), func(e dispatch.Event) { events <- e }).Run(ctx)
	if <-events; time.Since(start) > 2*time.Second {
		t.Error(time.Since(start))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(snapshotJSON(41, memberJSON)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		update, err := Decode(raw, testSettings)
		for _, h := range update.Hosts {
			if err == nil && (h.Name == "" || h.StartedAt < 0 || h.Build < 0) {
				t.Error(h)
			}
		}
	})
}
