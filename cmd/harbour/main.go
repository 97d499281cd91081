// Command harbour is the former name of portflowd. It only prints the new name and exits with status 2. It will be
// removed in the next release.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, `harbour is now portflowd: "harbour fairway" is "portflowd proxy", "harbour harbourmaster" is "portflowd control"`)
	os.Exit(2)
}
