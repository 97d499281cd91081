package flow

// Sum is what some records add up to.
type Sum struct {
	Records     uint64
	Connections uint64
	Counts
}

func (s *Sum) add(r *Record) {
	s.Records += uint64(r.Many)
	s.Connections += uint64(r.Connections)
	s.Counts.Add(r.Counts)
}

func (s *Sum) take(r *Record) {
	s.Records -= uint64(r.Many)
	s.Connections -= uint64(r.Connections)
	s.Forward -= r.Forward
	s.Reverse -= r.Reverse
	s.Commands -= r.Commands
}

func (s *Sum) join(x Sum) {
	s.Records += x.Records
	s.Connections += x.Connections
	s.Counts.Add(x.Counts)
}

// Account tells what became of all records: each is in one of the four places, so that
// Counted = Exported + Waiting + Folded + Lost holds after every step, in records, connections, octets and commands.
type Account struct {
	Counted  Sum // all there were
	Exported Sum // handed to a collector's connection whole
	Waiting  Sum // as they came, sent ones that may have to be sent again among them
	Folded   Sum // waiting, in records that stand for several
	Lost     Sum // given up for want of room
}

// Holds tells whether the identity does.
func (a Account) Holds() bool {
	sum := a.Exported
	for _, x := range []Sum{a.Waiting, a.Folded, a.Lost} {
		sum.join(x)
	}
	return sum == a.Counted
}
