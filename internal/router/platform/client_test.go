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

const rolloutText = `{"release":42,"tranche":1,"mode":"canary","exposure":0.28,"old_ms":310}`

var wantRollout = decision.Rollout{Build: 42, Stage: 1, ExposureCap: 0.28, Age: 310e6}

func startClient(t *testing.T, serve http.HandlerFunc) (*Client, chan dispatch.Event) {
	s := httptest.NewServer(serve)
	t.Cleanup(s.Close)
	events := make(chan dispatch.Event, 16)
	return New(strings.TrimPrefix(s.URL, "http://"), []string{"display"}, 200*time.Millisecond, zerolog.Nop(),
		func(e dispatch.Event) { events <- e }), events
}

func TestDecodeRollout(t *testing.T) {
	if n, err := DecodeRollout([]byte(rolloutText)); err != nil || n.Rollout != wantRollout {
		t.Fatal(n, err)
	}
	for from, to := range map[string]string{`"release":42,`: "", "42": "70000", "canary": "odd", "0.28": "1.5", "310": "-1", ":1": ":-1", "{": ""} {
		if n, err := DecodeRollout([]byte(strings.Replace(rolloutText, from, to, 1))); err == nil {
			t.Errorf("no error with %s in place of %s: got %v", to, from, n)
		}
	}
}

func TestVotes(t *testing.T) {
	for code, want := range map[int]decision.VoteResult{200: decision.VoteCounted, 429: decision.VoteThrottled, 409: decision.VoteConflict, 500: decision.VoteFailed,
		400: decision.VoteFailed, 204: decision.VoteUnanswered, 302: decision.VoteUnanswered, 1429: decision.VoteUnanswered, 0: decision.VoteUnanswered, 1: decision.VoteUnanswered} {
		requests := make(chan string, 4)
		client, events := startClient(t, func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			requests <- r.Method + r.URL.Path + string(raw)
			switch code {
			case 0:
				panic(http.ErrAbortHandler)
			case 1:
				<-r.Context().Done()
			default:
				w.Header().Set("Location", "/else")
				w.WriteHeader(code % 1000)
				if r, ok := voteRefusals[code]; ok {
					fmt.Fprintf(w, `{"error":%q}`, r.code)
				} else {
					fmt.Fprint(w, rolloutText)
				}
			}
		})
		client.Vote(decision.RollBack, 42, 1)
		n := (<-events).(dispatch.RolloutChanged)
		if !n.VoteReply || n.VoteResult != want || want == decision.VoteCounted && (n.Build != 42 || n.ExposureCap != 0.28) {
			t.Errorf("%d: %+v", code, n)
		}
		if call := <-requests; call != `POST/api/verdicts{"release":42,"tranche":1,"ruling":"ROLLBACK"}` || len(requests) > 0 {
			t.Error(call, len(requests))
		}
	}
}

// A stream that ends, fails or has an invalid line must be opened again.
func TestRolloutStream(t *testing.T) {
	streams := 0
	client, events := startClient(t, func(w http.ResponseWriter, r *http.Request) {
		good := `{"type":"report","object":{"unit":"s-1","product":"display","old_ms":1200}}` + "\n"
		bad := []string{"", "", "???", `{"type":"news","object":{"release":-1}}`, `{"type":"nxws"}`,
			`{"type":"report","object":{"unit":"s-1","product":"odd","old_ms":1200}}`}
		if streams++; streams == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, `{"type":"news","object":`+rolloutText+"}\n{}\n", good, bad[streams%len(bad)]+"\n")
		if http.NewResponseController(w).Flush(); bad[streams%len(bad)] != "" {
			<-r.Context().Done() // the client closes the stream
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	for range 7 {
		if n := (<-events).(dispatch.RolloutChanged); n.Rollout != wantRollout {
			t.Error(n)
		}
		if r := (<-events).(dispatch.AnswerFlagged); r != (dispatch.AnswerFlagged{Host: "s-1", Age: 1200e6}) {
			t.Error(r)
		}
	}
}

// A response header that is cut off, on a connection that stays open, must time out, and the stream must be opened again.
func TestTruncatedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for text := "HTTP/1.1 200 OK\r\nContent-Le"; ; text = "HTTP/1.1 200 OK\r\n\r\n{\"type\":\"news\",\"object\":" + rolloutText + "}\n" {
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
	start := time.Now()
	go New(l.Addr().String(), nil, time.Second, zerolog.Nop(), func(e dispatch.Event) { events <- e }).Run(ctx)
	if <-events; time.Since(start) > 2*time.Second {
		t.Error(time.Since(start))
	}
}

// SetAddress must end the current stream, and updates and votes must use the new address from then on.
func TestSetAddress(t *testing.T) {
	stream := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			fmt.Fprint(w, rolloutText)
			return
		}
		fmt.Fprint(w, `{"type":"news","object":`+rolloutText+"}\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	closed := make(chan bool)
	client, events := startClient(t, func(w http.ResponseWriter, r *http.Request) { stream(w, r); closed <- true })
	other, _ := startClient(t, stream)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	<-events
	client.SetAddress(other.address.Current())
	<-closed
	<-events
	client.Vote(decision.Advance, 42, 1)
	if n := (<-events).(dispatch.RolloutChanged); n.VoteResult != decision.VoteCounted {
		t.Error(n)
	}
}

func FuzzDecodeRollout(f *testing.F) {
	f.Add([]byte(rolloutText))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if n, err := DecodeRollout(raw); err == nil && (n.Build < 0 || n.Stage < 0 || n.Age < 0 || !(n.ExposureCap >= 0 && n.ExposureCap <= 1)) {
			t.Error(n)
		}
	})
}
