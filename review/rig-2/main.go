package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Results of a case, which are the exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var freezeFor = flag.Duration("freeze", 2*time.Second, "how long the process stands still")

// cases are the cases by name. Each returns a result and a line that says why.
var cases = map[string]func(rec *record, trouble bool) (int, string){
	"refused-change":   refusedChange,
	"long-body":        longBody,
	"repeated-rollout": repeatedRollout,
}

func main() {
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *path))
}

// play plays a case and returns its exit code.
func play(name, path string) int {
	run := cases[name]
	if run == nil {
		fmt.Println("no such case:", name)
		return failed
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer file.Close()
	rec := &record{file: file, since: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", name, trouble)
	code, why := run(rec, trouble)
	rec.printf("result %d: %s", code, why)
	fmt.Printf("result %d: %s\n", code, why)
	return code
}
