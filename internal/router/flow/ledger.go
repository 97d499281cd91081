package flow

// Totals is the sum over a set of records.
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

// Ledger accounts for the records of a backlog. Each record is counted in exactly one of Exported, Waiting, Folded and Lost, so
// Counted = Exported + Waiting + Folded + Lost holds after every call, in records, connections, octets and commands.
type Ledger struct {
	Counted  Totals // all records added
	Exported Totals // written in full to the collector's connection
	Waiting  Totals // queued without folding, or in flight
	Folded   Totals // queued as part of folded records
	Lost     Totals // dropped at the memory limit
}

// Balanced reports whether Counted equals the sum of the other fields.
func (l Ledger) Balanced() bool {
	total := l.Exported
	for _, x := range []Totals{l.Waiting, l.Folded, l.Lost} {
		total.merge(x)
	}
	return total == l.Counted
}
