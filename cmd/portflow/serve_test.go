package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"portflow/internal/router/config"
	"portflow/internal/router/site"
)

// startServices starts a server for both discovery and the platform. The channel receives the path of each request.
func startServices(t *testing.T) (address string, requests chan string) {
	requests = make(chan string, 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case requests <- r.URL.Path:
		default:
		}
		if r.URL.Path == "/api/watch" {
			fmt.Fprintln(w, `{}`)
			http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

// SIGHUP must apply the addresses in the file, even if the environment overrode them at the start. A malformed file must change
// nothing, and SIGTERM must end the router.
func TestSignals(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery, platform, rest string) {
		text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
			"rollouts":{"address":%q,"news":{"release":1,"mode":"stable","exposure":1}},
			"known":{"revision":1,"complete":true,"members":[{"id":"h","host_port":"127.0.0.1:1","phase":"Ready"}]},
			"settings":{"classes":[{"name":"display","aimNs":1000000,"hardLimitNs":2000000,"effect":"repeatable"}],"familyInfo":{"gateMode":"majority"},
			"replicasOfMe":1,"tickNs":1000000,"limits":{"maxAttempts":1,"connIdleNs":1000000000,"connectTimeoutNs":1000000}}}%s`,
			listen, discovery, platform, rest)
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		os.Rename(path+".new", path)
	}
	first, firstRequests := startServices(t)
	second, secondRequests := startServices(t)
	env := func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_DISCOVERY": first}[name]
	}
	write(first, first, "")
	c, err := config.Load(env)
	if err != nil {
		t.Fatal(err)
	}
	loads := make(chan error, 4)
	ended := make(chan error)
	go func() {
		ended <- serve(c, site.Config{}, func() (config.Config, error) {
			c, err := config.Reload(env)
			loads <- err
			return c, err
		}, zerolog.Nop())
	}()
	<-firstRequests // the signal handler is installed by now
	<-firstRequests
	write(second, second, "}")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if <-loads == nil || len(secondRequests) > 0 {
		t.Error("a malformed file was applied")
	}
	write(second, second, "")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if err := <-loads; err != nil {
		t.Error(err)
	}
	if paths := (<-secondRequests) + (<-secondRequests); !strings.Contains(paths, "watch") || !strings.Contains(paths, "targets") {
		t.Error(paths)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
