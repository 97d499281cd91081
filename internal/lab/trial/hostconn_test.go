package trial

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A short response is written after the handler has returned. If the host has closed the connection by then, the host broke the request off,
// not the proxy.
func TestResponseCutByHost(t *testing.T) {
	c := qt.New(t)
	r := &rig{recorder: newRecorder(10)}
	i := &instance{host: &host{rig: r}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	serverSide := make(chan net.Conn, 1)
	server := &http.Server{
		ConnContext: withHostConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			beginRequest(req, req.Header.Get("Attempt-Id"))
			conn := req.Context().Value(hostConnKey{}).(*hostConn)
			conn.Close()
			serverSide <- conn
			w.Write([]byte("short"))
		}),
	}
	go server.Serve(hostListener{listener, i})
	defer server.Close()
	req, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", http.NoBody)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Attempt-Id", "cut")
	_, err = http.DefaultTransport.RoundTrip(req)
	c.Check(err, qt.IsNotNil)
	<-serverSide
	c.Assert(server.Shutdown(t.Context()), qt.IsNil) // returns once the response was tried to be written
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	c.Check(*r.recorder.hostViews["cut"], qt.Equals, HostView{BrokeOff: true})
}
