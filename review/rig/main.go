package main

import (
	"fmt"
	"os"
	osSignal "os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the scripts by name.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"departure":  departureCase,
	"dropped":    droppedCase,
	"evacuation": evacuationCase,
	"refused":    refusedCase,
	"upload":     uploadCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// longest is how long a case may take.
const longest = 110 * time.Second

// run plays a case and returns the exit status. Whatever ends it, all processes that it started are ended first.
func run(name, root, folder string) (exit int) {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := newCluster(log, root)
	if err != nil {
		log.add("the case could not run: %v", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, trouble %v", name, trouble)
	stopped := make(chan os.Signal, 1)
	osSignal.Ignore(syscall.SIGPIPE)
	osSignal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := make(chan string, 1)
	go func() {
		broken, err := cases[name](c, trouble)
		switch {
		case err != nil:
			result <- "the case could not run: " + err.Error()
		case broken:
			result <- ruleBroken
		default:
			result <- ruleHeld
		}
	}()
	text := ""
	select {
	case text = <-result:
	case s := <-stopped:
		text = "the case could not run: " + s.String()
	case <-time.After(longest):
		text = "the case could not run: it took too long"
	}
	c.stop()
	log.add("%s", text)
	fmt.Println(text)
	switch text {
	case ruleBroken:
		return 1
	case ruleHeld:
		return 0
	}
	return 2
}

const (
	ruleBroken = "the rule was broken"
	ruleHeld   = "the rule held"
)
