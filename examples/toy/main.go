// Command toy runs what is around a router, on the addresses of config.json: two hosts, discovery and the platform.
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

// serve answers requests until the program ends.
func serve(address string, h http.HandlerFunc) { log.Fatal(http.ListenAndServe(address, h)) }

// discovery answers one list, which never changes.
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

// platform answers one build, which is released.
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
