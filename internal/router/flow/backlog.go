package flow

import "slices"

// Backlog holds a collector's records in order, under a bound of bytes. Where it is reached, light records are folded
// into ones that keep the totals of their label and reason; only where nothing is left to fold are the oldest lost.
type Backlog struct {
	Account Ledger

	maxRecords int
	records    []Record // a ring would save moving; batches are taken from the front by head
	head       int
	folded     map[foldKey]*Record
	order      []foldKey // the folded ones, the oldest first
	inFlight   []Record
}

// foldKey is what records are folded by.
type foldKey struct {
	Label
	Reason
}

// NewBacklog makes an empty one of at most so many bytes, of which it takes as many as it needs.
func NewBacklog(bytes int) *Backlog {
	return &Backlog{maxRecords: max(16, bytes/recordBytes), folded: map[foldKey]*Record{}}
}

func (b *Backlog) queued() int { return len(b.records) - b.head }

// Bytes is about what the backlog takes now.
func (b *Backlog) Bytes() int { return recordBytes * (b.queued() + len(b.folded) + len(b.inFlight)) }

// Len is how many records wait, folded ones as one.
func (b *Backlog) Len() int { return b.queued() + len(b.folded) }

// Add takes a record in.
func (b *Backlog) Add(r Record) {
	r.Count = max(1, r.Count)
	b.Account.Counted.add(&r)
	b.Account.Waiting.add(&r)
	b.records = append(b.records, r)
	b.enforceLimit()
}

// enforceLimit keeps the bound. Records lighter than the median of those that wait are folded first: in a burst of short
// connections they are most of the records and least of the octets, and heavy ones keep their addresses and times.
func (b *Backlog) enforceLimit() {
	if b.queued()+len(b.folded)+len(b.inFlight) <= b.maxRecords {
		return
	}
	if b.queued() > b.maxRecords/8 {
		weights := make([]uint64, 0, b.queued())
		for _, r := range b.records[b.head:] {
			weights = append(weights, r.Forward+r.Reverse)
		}
		slices.Sort(weights)
		median, rest := weights[len(weights)/2], b.records[:0]
		for i := b.head; i < len(b.records); i++ {
			if r := b.records[i]; r.Forward+r.Reverse <= median {
				b.foldRecord(r)
			} else {
				rest = append(rest, r)
			}
		}
		clear(b.records[len(rest):])
		b.records, b.head = rest, 0
	}
	for b.queued()+len(b.folded)+len(b.inFlight) > b.maxRecords {
		b.dropOldest()
	}
}

// foldRecord adds a record that waits to the one of its label.
func (b *Backlog) foldRecord(r Record) {
	b.Account.Waiting.subtract(&r)
	b.Account.Folded.add(&r)
	key := foldKey{r.Label, r.Reason}
	into := b.folded[key]
	if into == nil {
		into = &Record{Label: r.Label, Reason: r.Reason, Start: r.Start, End: r.End}
		b.folded[key] = into
		b.order = append(b.order, key)
	}
	into.Counts.Add(r.Counts)
	into.Start, into.End = min(into.Start, r.Start), max(into.End, r.End)
	into.Count += r.Count
	into.Connections += r.Connections
}

// dropOldest gives the oldest up: records as they came first, as those that are folded stand for many.
func (b *Backlog) dropOldest() {
	switch {
	case b.queued() > 0:
		r := &b.records[b.head]
		b.Account.Waiting.subtract(r)
		b.Account.Lost.add(r)
		b.popFront()
	case len(b.order) > 0:
		r := b.folded[b.order[0]]
		b.Account.Folded.subtract(r)
		b.Account.Lost.add(r)
		delete(b.folded, b.order[0])
		b.order = b.order[1:]
	default: // all that is left is being sent
		for i := range b.inFlight {
			b.Account.Waiting.subtract(&b.inFlight[i])
			b.Account.Lost.add(&b.inFlight[i])
		}
		b.inFlight = nil
	}
}

// popFront takes the first of the plain ones out.
func (b *Backlog) popFront() {
	b.records[b.head] = Record{}
	if b.head++; b.head > 64 && b.head > len(b.records)/2 {
		n := copy(b.records, b.records[b.head:])
		clear(b.records[n:])
		b.records, b.head = b.records[:n], 0
	}
}

// Take hands out up to so many records to be sent, folded ones first, as they are the oldest. They wait until Sent
// tells that they went; until then nothing more is handed out.
func (b *Backlog) Take(limit int) []Record {
	if len(b.inFlight) > 0 {
		return b.inFlight
	}
	for len(b.order) > 0 && len(b.inFlight) < limit {
		r := *b.folded[b.order[0]]
		delete(b.folded, b.order[0])
		b.order = b.order[1:]
		b.Account.Folded.subtract(&r)
		b.Account.Waiting.add(&r)
		b.inFlight = append(b.inFlight, r)
	}
	for b.queued() > 0 && len(b.inFlight) < limit {
		b.inFlight = append(b.inFlight, b.records[b.head])
		b.popFront()
	}
	return b.inFlight
}

// Sent tells that the first n of what was taken have been handed on; the others are handed out again.
func (b *Backlog) Sent(n int) {
	for i := range b.inFlight[:min(n, len(b.inFlight))] {
		b.Account.Waiting.subtract(&b.inFlight[i])
		b.Account.Exported.add(&b.inFlight[i])
	}
	b.inFlight = b.inFlight[min(n, len(b.inFlight)):]
}
