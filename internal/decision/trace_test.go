package decision

import (
	"testing"

	"portflow/internal/testing/digest"
)

// The effects of a router over drawn days, with commands, endings, lists, news, peers' messages and flags, are what they
// were. The numbers of constants count; names don't, nor the texts of notes. Peers' messages are recorded as their bytes.
func TestTrace(t *testing.T) {
	digest.Pin(t, 30, []string{"8e4e64b7f0e07981", "cc6cd2c03f03c5d6", "822ca3e0d1f2c50e", "e1fcfcc5aa557d81"}, func(seed uint64, d *digest.Digest) {
		playDay(t, seed, 400, d)
	})
}
