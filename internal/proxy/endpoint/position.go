package endpoint

// Position is a place in the order of the decided changes: the epoch of the core, then the number of the change. The zero mark
// is of control processes that number none.
type Position struct{ Epoch, Number uint64 }

// Before tells whether m comes before o.
func (p Position) Before(o Position) bool {
	return p.Epoch < o.Epoch || p.Epoch == o.Epoch && p.Number < o.Number
}

// Position is the mark as of which the board's items are.
func (t *Table) Position() Position { return t.position }
