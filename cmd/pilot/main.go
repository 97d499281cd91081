// Command pilot is the former name of portflowctl. It only prints the new name and exits with status 2. It will be
// removed in the next release.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "pilot is now portflowctl, with the same commands and flags")
	os.Exit(2)
}
