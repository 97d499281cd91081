// Command pilot is the former name of portflowctl. It does nothing but say so, and goes with the next release.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "pilot is now portflowctl, with the same commands and flags")
	os.Exit(2)
}
