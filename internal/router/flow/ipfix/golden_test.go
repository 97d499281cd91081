package ipfix

import (
	"testing"

	"portflow/internal/golden"
	"portflow/internal/router/flow"
)

// Guards against changes of the encoding of templates, of each kind of record and of totals.
func TestGoldenMessages(t *testing.T) {
	e := encoder()
	e.Boot = 17e17
	raw := e.Templates(nil, 18e17)
	raw, n := e.Data(raw, 18e17, records(), 1<<16)
	if n != len(records()) {
		t.Fatalf("got %d records", n)
	}
	sum := func(n uint64) flow.Totals {
		return flow.Totals{Records: n, Connections: n + 1, Counts: flow.Counts{Forward: n + 2, Reverse: n + 3, Commands: n + 4}}
	}
	golden.Equal(t, "messages.bin", e.Totals(raw, 18e17, flow.Ledger{Counted: sum(10), Exported: sum(20), Waiting: sum(30), Folded: sum(40), Lost: sum(50)}))
}
