package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

const news = `{"release":42,"tranche":1,"mode":"canary","exposure":0.28,"old_ms":310}`

var read = decision.News{Build: 42, Stage: 1, Cap: 0.28, Age: 310e6}

func begin(t *testing.T, serve http.HandlerFunc) (*Platform, chan dispatch.Event) {
	s := httptest.NewServer(serve)
	t.Cleanup(s.Close)
	events := make(chan dispatch.Event, 16)
	return New(strings.TrimPrefix(s.URL, "http://"), []string{"display"}, 200*time.Millisecond, zerolog.Nop(),
		func(e dispatch.Event) { events <- e }), events
}

func TestDecodeNews(t *testing.T) {
	if n, err := DecodeNews([]byte(news)); err != nil || n.News != read {
		t.Fatal(n, err)
	}
	for from, to := range map[string]string{`"release":42,`: "", "42": "70000", "canary": "odd", "0.28": "1.5", "310": "-1", ":1": ":-1", "{": ""} {
		if n, err := DecodeNews([]byte(strings.Replace(news, from, to, 1))); err == nil {
			t.Errorf("%s for %s taken as %v", to, from, n)
		}
	}
}

func TestVotes(t *testing.T) {
	for code, want := range map[int]decision.CallEnding{200: decision.Counts, 429: decision.CallsFull, 409: decision.Moot, 500: decision.CallError,
		400: decision.CallError, 204: decision.CallSilent, 302: decision.CallSilent, 1429: decision.CallSilent, 0: decision.CallSilent, 1: decision.CallSilent} {
		asked := make(chan string, 4)
		p, events := begin(t, func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			asked <- r.Method + r.URL.Path + string(raw)
			switch code {
			case 0:
				panic(http.ErrAbortHandler)
			case 1:
				<-r.Context().Done()
			default:
				w.Header().Set("Location", "/else")
				w.WriteHeader(code % 1000)
				if r, ok := refusals[code]; ok {
					fmt.Fprintf(w, `{"error":%q}`, r.word)
				} else {
					fmt.Fprint(w, news)
				}
			}
		})
		p.Vote(decision.Back, 42, 1)
		n := (<-events).(dispatch.News)
		if !n.Reply || n.Ending != want || want == decision.Counts && (n.Build != 42 || n.Cap != 0.28) {
			t.Errorf("%d: %+v", code, n)
		}
		if call := <-asked; call != `POST/api/verdicts{"release":42,"tranche":1,"ruling":"ROLLBACK"}` || len(asked) > 0 {
			t.Error(call, len(asked))
		}
	}
}

// A stream that ends, breaks or brings what can't be read is asked for again.
func TestNewsStream(t *testing.T) {
	streams := 0
	p, events := begin(t, func(w http.ResponseWriter, r *http.Request) {
		good := `{"type":"report","object":{"unit":"s-1","product":"display","old_ms":1200}}` + "\n"
		bad := []string{"", "", "???", `{"type":"news","object":{"release":-1}}`, `{"type":"nxws"}`,
			`{"type":"report","object":{"unit":"s-1","product":"odd","old_ms":1200}}`}
		if streams++; streams == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, `{"type":"news","object":`+news+"}\n{}\n", good, bad[streams%len(bad)]+"\n")
		if http.NewResponseController(w).Flush(); bad[streams%len(bad)] != "" {
			<-r.Context().Done() // the reader closes
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	for range 7 {
		if n := (<-events).(dispatch.News); n.News != read {
			t.Error(n)
		}
		if r := (<-events).(dispatch.Flagged); r != (dispatch.Flagged{Host: "s-1", Age: 1200e6}) {
			t.Error(r)
		}
	}
}

// An answer that is cut short while its connection stays open is asked for again.
func TestCutShort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for text := "HTTP/1.1 200 OK\r\nContent-Le"; ; text = "HTTP/1.1 200 OK\r\n\r\n{\"type\":\"news\",\"object\":" + news + "}\n" {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, text)
		}
	}()
	events := make(chan dispatch.Event, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	since := time.Now()
	go New(l.Addr().String(), nil, time.Second, zerolog.Nop(), func(e dispatch.Event) { events <- e }).Run(ctx)
	if <-events; time.Since(since) > 2*time.Second {
		t.Error(time.Since(since))
	}
}

// A move ends the stream that is followed; news and votes are another address's from then on.
func TestMove(t *testing.T) {
	stream := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			fmt.Fprint(w, news)
			return
		}
		fmt.Fprint(w, `{"type":"news","object":`+news+"}\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	left := make(chan bool)
	p, events := begin(t, func(w http.ResponseWriter, r *http.Request) { stream(w, r); left <- true })
	other, _ := begin(t, stream)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	<-events
	p.Move(other.address.Now())
	<-left
	<-events
	p.Vote(decision.On, 42, 1)
	if n := (<-events).(dispatch.News); n.Ending != decision.Counts {
		t.Error(n)
	}
}

func FuzzDecodeNews(f *testing.F) {
	f.Add([]byte(news))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if n, err := DecodeNews(raw); err == nil && (n.Build < 0 || n.Stage < 0 || n.Age < 0 || !(n.Cap >= 0 && n.Cap <= 1)) {
			t.Error(n)
		}
	})
}
