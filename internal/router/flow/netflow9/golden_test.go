package netflow9

import (
	"testing"

	"portflow/internal/golden"
)

// Collectors are sent the same bytes: templates, and records of each kind.
func TestGoldenMessages(t *testing.T) {
	e := encoder()
	raw := e.Templates(nil, now)
	for left := records(); len(left) > 0; {
		var n int
		raw, n = e.Data(raw, now, left, 1<<15)
		left = left[n:]
	}
	golden.Equal(t, "messages.bin", raw)
}
