// Package random draws numbers that depend on a seed and on how many were drawn before, and on nothing else.
package random

import (
	"encoding/binary"
	"hash/fnv"
)

// Source is one instance's chance. It is not safe for use by two goroutines.
type Source struct {
	Seed  uint64
	draws uint64
}

// Float64 draws from [0, 1).
func (s *Source) Float64() float64 {
	s.draws++
	hash := fnv.New64a()
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], s.draws)
	binary.BigEndian.PutUint64(input[8:], s.Seed)
	hash.Write(input[:])
	x := hash.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53)
}
