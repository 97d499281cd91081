package flow

// Totals is what some records add up to.
type Totals struct {
	Records     uint64
	Connections uint64
	Counts
}

func (t *Totals) add(r *Record) {
	t.Records += uint64(r.Count)
	t.Connections += uint64(r.Connections)
	t.Counts.Add(r.Counts)
}

func (t *Totals) subtract(r *Record) {
	t.Records -= uint64(r.Count)
	t.Connections -= uint64(r.Connections)
	t.Forward -= r.Forward
	t.Reverse -= r.Reverse
	t.Commands -= r.Commands
}

func (t *Totals) merge(x Totals) {
	t.Records += x.Records
	t.Connections += x.Connections
	t.Counts.Add(x.Counts)
}

// Ledger tells what became of all records: each is in one of the four places, so that
// Counted = Exported + Waiting + Folded + Lost holds after every step, in records, connections, octets and commands.
type Ledger struct {
	Counted  Totals // all there were
	Exported Totals // handed to a collector's connection whole
	Waiting  Totals // as they came, sent ones that may have to be sent again among them
	Folded   Totals // waiting, in records that stand for several
	Lost     Totals // given up for want of room
}

// Balanced tells whether the identity does.
func (l Ledger) Balanced() bool {
	total := l.Exported
	for _, x := range []Totals{l.Waiting, l.Folded, l.Lost} {
		total.merge(x)
	}
	return total == l.Counted
}
