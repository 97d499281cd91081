//go:build !race

package basin

const raced = false
