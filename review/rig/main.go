package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the scripts by name.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"departure":  departureCase,
	"evacuation": evacuationCase,
	"upload":     uploadCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

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
	defer c.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, trouble %v", name, trouble)
	broken, err := cases[name](c, trouble)
	switch {
	case err != nil:
		log.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		log.add("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	log.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
