package flow

// Totals is what some records add up to.
type Totals struct {
	Records     uint64
	Connections uint64
	Counts
}

func (s *Totals) add(r *Record) {
	s.Records += uint64(r.Count)
	s.Connections += uint64(r.Connections)
	s.Counts.Add(r.Counts)
}

func (s *Totals) subtract(r *Record) {
	s.Records -= uint64(r.Count)
	s.Connections -= uint64(r.Connections)
	s.Forward -= r.Forward
	s.Reverse -= r.Reverse
	s.Commands -= r.Commands
}

func (s *Totals) merge(x Totals) {
	s.Records += x.Records
	s.Connections += x.Connections
	s.Counts.Add(x.Counts)
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
func (a Ledger) Balanced() bool {
	sum := a.Exported
	for _, x := range []Totals{a.Waiting, a.Folded, a.Lost} {
		sum.merge(x)
	}
	return sum == a.Counted
}
