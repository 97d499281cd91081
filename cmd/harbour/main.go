// Command harbour is the former name of portflowd. It does nothing but say so, and goes with the next release.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, `harbour is now portflowd: "harbour fairway" is "portflowd proxy", "harbour harbourmaster" is "portflowd control"`)
	os.Exit(2)
}
