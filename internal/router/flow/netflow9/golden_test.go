package netflow9

import (
	"testing"

	"portflow/internal/golden"
)

// Guards against changes of the encoding of templates and of each kind of record.
func TestGoldenMessages(t *testing.T) {
	e := encoder()
	raw := e.Templates(nil, now)
	for remaining := records(); len(remaining) > 0; {
		var n int
		raw, n = e.Data(raw, now, remaining, 1<<15)
		remaining = remaining[n:]
	}
	golden.Equal(t, "messages.bin", raw)
}
