package decision

import (
	"testing"

	"portflow/internal/testing/digest"
)

// Guards against unintended changes of the effects in random scenarios with all kinds of events. The digest includes the values
// of enumeration constants and the bytes of gossip messages, but no names and no texts of log messages.
func TestTrace(t *testing.T) {
	digest.Pin(t, 30, []string{"8e4e64b7f0e07981", "cc6cd2c03f03c5d6", "822ca3e0d1f2c50e", "e1fcfcc5aa557d81"}, func(seed uint64, d *digest.Digest) {
		playScenario(t, seed, 400, d)
	})
}
