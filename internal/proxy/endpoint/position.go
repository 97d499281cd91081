package endpoint

// Position is a place in the order of the decided changes: the epoch of the voters, then the number of the change. The zero position
// is that of control processes that number none.
type Position struct{ Epoch, Number uint64 }

// Before reports whether p comes before other.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Number < other.Number
}

// Position is the position as of which the table's items are.
func (t *Table) Position() Position { return t.position }
