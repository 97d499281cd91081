// Package random draws numbers that depend on a seed and on how many were drawn before, and on nothing else, so that runs with the
// same seed are alike. They are not fit for cryptography. Begin reading at Source.
package random

import (
	"encoding/binary"
	"hash/fnv"
)

// Source is a source of random numbers. It is not safe for concurrent use.
type Source struct {
	Seed  uint64
	draws uint64 // numbers drawn so far
}

// Float64 returns a random number from 0 up to 1, without 1: the FNV hash of the number of draws and the seed, mixed once more.
func (s *Source) Float64() float64 {
	s.draws++
	hash := fnv.New64a()
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], s.draws)
	binary.BigEndian.PutUint64(input[8:], s.Seed)
	_, _ = hash.Write(input[:]) // a hash.Hash never returns an error
	x := hash.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53) // the 53 bits of a float64's significand
}
