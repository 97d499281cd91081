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

const member = `{"id":"s-1","host_port":"10.1.0.18:8081","locality":"b","flavor":"m2","cell":3,"phase":"Ready","size":1.5,"up_since_ms":1000,"image_id":41}`

func snapshotJSON(revision int, members string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, members)
}

var zones = settings.Settings{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}

func TestDecode(t *testing.T) {
	m, err := Decode([]byte(snapshotJSON(41, member)), zones)
	want := dispatch.Host{Name: "s-1", Address: "10.1.0.18:8081", Zone: 1, Kind: 1, Cell: 3, Health: decision.Ready, Build: 41,
		Capacity: 1.5, StartedAt: 1e9}
	if err != nil || m.Revision != 41 || m.Kind != decision.Snapshot || m.Hosts[0] != want {
		t.Fatal(m, err)
	}
	for _, raw := range []string{"", "{", "[]", snapshotJSON(1, ""), snapshotJSON(1, member+","+member), `{"complete":true,"members":[` + member + `]}`,
		snapshotJSON(1, strings.Replace(member, "Ready", "Asleep", 1)), snapshotJSON(1, strings.Replace(member, "s-1", "", 1)),
		snapshotJSON(1, strings.Replace(member, "10.1.0.18:8081", "", 1)), snapshotJSON(1, strings.Replace(member, "1000", "-1", 1)),
		snapshotJSON(1, strings.Replace(member, ":41}", ":70000}", 1))} {
		if m, err := Decode([]byte(raw), zones); err == nil {
			t.Errorf("%s taken as %v", raw, m)
		}
	}
}

// What can't be used is passed over and asked for again: unreadable text, errors, older and empty lists.
func TestWatch(t *testing.T) {
	answers := []string{"{", snapshotJSON(0, ""), "status", snapshotJSON(41, member), `{"revision":40,"complete":false,"members":[]}`,
		snapshotJSON(42, member), `{"revision":43,"complete":false,"members":[` + strings.Replace(member, "Ready", "Gone", 1) + `]}`}
	asked := make(chan string, len(answers))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(asked)
		if n == len(answers) {
			<-r.Context().Done()
			return
		}
		asked <- r.URL.RequestURI()
		if answers[n] == "status" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, answers[n])
	}))
	defer s.Close()
	events := make(chan dispatch.Event, len(answers))
	w := New(strings.TrimPrefix(s.URL, "http://"), zones, zerolog.Nop(), func(e dispatch.Event) { events <- e })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	for i, health := range []decision.Health{decision.Ready, decision.Ready, decision.Gone} {
		if l := (<-events).(dispatch.HostsChanged); l.Hosts[0].Health != health || (i == 2) != (l.Kind == decision.Delta) {
			t.Error(i, l)
		}
	}
	for i, want := range []string{"", "", "", "", "?index=41&wait=3000", "", "?index=42&wait=3000"} {
		if got := <-asked; got != "/api/targets"+want {
			t.Errorf("call %d: %s", i, got)
		}
	}
}

// startDiscovery is a discovery that gives one answer to the first call and is silent to all others.
func startDiscovery(t *testing.T, answer string) (address string, asked chan string) {
	asked = make(chan string, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked <- r.URL.RequestURI(); answer == "" || r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, answer)
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), asked
}

// What is asked for is what came after the list that is here: at the start after the one that the router was given, and
// so again when a call fails or its answer can't be read. Whole lists for all routers of a fleet hold discovery up.
func TestFailedCallsAskForChanges(t *testing.T) {
	answers := []string{"", "{", `{"revision":42,"complete":false,"members":[]}`, ""}
	asked, all := make(chan string, 16), make(chan bool, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(asked)
		if asked <- r.URL.RequestURI(); n >= len(answers) {
			all <- true
			<-r.Context().Done()
		} else if answers[n] == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			fmt.Fprint(w, answers[n])
		}
	}))
	defer s.Close()
	for _, subscribe := range []bool{false, true} {
		set := zones
		set.Subscribe = subscribe
		failed := make(chan dispatch.Event, 16)
		w := New(strings.TrimPrefix(s.URL, "http://"), set, zerolog.Nop(), func(e dispatch.Event) { failed <- e })
		w.SetKnown(41)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { w.Run(ctx); close(done) }()
		go func() {
			for subscribe {
				w.Watch(true)
				if <-failed == nil {
					return
				}
			}
		}()
		<-all
		cancel()
		<-done
		if subscribe {
			failed <- nil
		}
		for i, want := range []string{"41", "41", "41", "42", "42"} {
			if got := <-asked; got != "/api/targets?index="+want+"&wait=3000" {
				t.Errorf("subscribe %v: call %d: %s", subscribe, i, got)
			}
		}
	}
}

// A move ends the call that waits, and the whole list counts at the other address whatever its revision.
func TestSetAddress(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		old, askedOld := startDiscovery(t, snapshotJSON(41, member))
		next, askedNext := startDiscovery(t, snapshotJSON(7, strings.Replace(member, "Ready", "Terminating", 1)))
		events := make(chan dispatch.Event, 16)
		s := zones
		s.Subscribe = subscribe
		w := New(old, s, zerolog.Nop(), func(e dispatch.Event) { events <- e })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.Run(ctx)
		if subscribe {
			w.Watch(true)
		}
		if l := (<-events).(dispatch.HostsChanged); l.Hosts[0].Health != decision.Ready {
			t.Error(l)
		}
		<-askedOld
		<-askedOld // the one that waits
		w.SetAddress("127.0.0.1:1")
		w.SetAddress(next)
		if l := (<-events).(dispatch.HostsChanged); l.Kind != decision.Snapshot || l.Hosts[0].Health != decision.Draining {
			t.Error(l)
		}
		if first, second := <-askedNext, <-askedNext; strings.Contains(first, "index") || !strings.Contains(second, "index=7") {
			t.Error(first, second)
		}
		if len(askedOld) > 0 {
			t.Error("asked at the old address", <-askedOld)
		}
	}
}

// An answer that is cut short while its connection stays open is asked for again on another one.
func TestCutShort(t *testing.T) {
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
				for n == 0 { // each call gets a part
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{")
				}
				http.ReadRequest(bufio.NewReader(c))
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(snapshotJSON(1, member)), snapshotJSON(1, member))
			}()
		}
	}()
	events := make(chan dispatch.Event, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	since := time.Now()
	go New(l.Addr().String(), zones, zerolog.Nop(), func(e dispatch.Event) { events <- e }).Run(ctx)
	if <-events; time.Since(since) > 2*time.Second {
		t.Error(time.Since(since))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(snapshotJSON(41, member)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw, zones)
		for _, h := range m.Hosts {
			if err == nil && (h.Name == "" || h.StartedAt < 0 || h.Build < 0) {
				t.Error(h)
			}
		}
	})
}
