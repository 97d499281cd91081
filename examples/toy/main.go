// Command toy runs the servers that a router needs, at the addresses in examples/config.json: two hosts, discovery and the
// platform.
package main

import (
	"fmt"
	"log"
	"net/http"
	"strconv"
	"time"
)

const memberList = `{"revision":2,"complete":true,"members":[
 {"id":"h1","host_port":"127.0.0.1:9001","locality":"hall","flavor":"toy","phase":"Ready","size":1,"image_id":1},
 {"id":"h2","host_port":"127.0.0.1:9002","locality":"hall","flavor":"toy","phase":"Ready","size":1,"image_id":1}]}`

const releaseState = `{"release":1,"tranche":0,"mode":"stable","exposure":1,"old_ms":0}`

func main() {
	for _, name := range []string{"9001", "9002"} {
		go serve("127.0.0.1:"+name, func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "host %s answers %s\n", name, r.URL.Path)
		})
	}
	go serve("127.0.0.1:8500", discovery)
	serve("127.0.0.1:6400", platform)
}

// serve blocks; a listener that fails ends the program.
func serve(address string, h http.HandlerFunc) { log.Fatal(http.ListenAndServe(address, h)) }

// discovery returns a host list that never changes. A request for changes since its revision waits until its timeout.
func discovery(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("index") != "2" {
		fmt.Fprint(w, memberList)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
		fmt.Fprint(w, `{"revision":2,"complete":false,"members":[]}`)
	case <-r.Context().Done():
	}
}

// platform returns a stable release of a single build. Watches get it once, then an empty object each second.
func platform(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/watch" {
		fmt.Fprint(w, releaseState)
		return
	}
	fmt.Fprintln(w, `{"type":"news","object":`+releaseState+`}`)
	for r.Context().Err() == nil {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(time.Second)
		fmt.Fprintln(w, "{}")
	}
}
