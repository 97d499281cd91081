package endpoint

// Position is a position in the sequence of committed changes: the epoch of the voting members, then the number of the change. The zero
// value means that the control process doesn't number changes.
type Position struct{ Epoch, Number uint64 }

// Before reports whether p precedes other. A lower epoch precedes any number of a higher one.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Number < other.Number
}

// Position returns the position that the table's items reflect. It never decreases.
func (t *Table) Position() Position { return t.position }
