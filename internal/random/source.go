// Package random generates reproducible pseudo-random numbers: each depends only on the seed and on how many were generated before.
// They are not suitable for cryptography.
package random

import (
	"encoding/binary"
	"hash/fnv"
)

// Source generates the sequence of numbers of a seed; the zero Source has seed 0. It is not safe for concurrent use.
type Source struct {
	Seed  uint64
	draws uint64 // numbers generated so far
}

// Float64 returns a pseudo-random number in [0, 1): the 64-bit FNV-1a hash of the number of draws and the seed, with a further
// mixing step.
func (s *Source) Float64() float64 {
	s.draws++
	hash := fnv.New64a()
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], s.draws)
	binary.BigEndian.PutUint64(input[8:], s.Seed)
	_, _ = hash.Write(input[:]) // Write of a hash.Hash never returns an error
	x := hash.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53) // uses the 53 bits of a float64's significand
}
