package decision

import (
	"testing"

	"portflow/internal/testing/digest"
)

// The effects of a router over random days, with every kind of event, are unchanged. The numbers of constants are part of the
// digest; names and the texts of log messages are not. Gossip is recorded as its bytes.
func TestTrace(t *testing.T) {
	digest.Pin(t, 30, []string{"8e4e64b7f0e07981", "cc6cd2c03f03c5d6", "822ca3e0d1f2c50e", "e1fcfcc5aa557d81"}, func(seed uint64, d *digest.Digest) {
		playScenario(t, seed, 400, d)
	})
}
