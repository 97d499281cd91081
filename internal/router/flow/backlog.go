package flow

import "slices"

// Backlog queues the records for one collector within a memory limit. At the limit, records with little traffic are folded:
// merged into one record per label and reason, which keeps the totals. If that frees too little, the oldest records are dropped.
// Backlog is not safe for concurrent use.
type Backlog struct {
	Account Ledger

	maxRecords int
	records    []Record // records[head:] is queued, oldest first
	head       int
	folded     map[foldKey]*Record
	order      []foldKey // keys of folded, oldest first
	inFlight   []Record  // returned by Take and not yet confirmed by Sent
}

// foldKey identifies a folded record: records with the same key are merged.
type foldKey struct {
	Label
	Reason
}

// NewBacklog returns an empty backlog that uses about the given number of bytes at most, but always fits 16 records.
// Memory is allocated as needed.
func NewBacklog(bytes int) *Backlog {
	return &Backlog{maxRecords: max(16, bytes/recordBytes), folded: map[foldKey]*Record{}}
}

func (b *Backlog) queued() int { return len(b.records) - b.head }

// Bytes returns the approximate memory use.
func (b *Backlog) Bytes() int { return recordBytes * (b.queued() + len(b.folded) + len(b.inFlight)) }

// Len returns the number of queued records without those in flight. A folded record counts as one.
func (b *Backlog) Len() int { return b.queued() + len(b.folded) }

// Add queues a record, and folds or drops records if the limit is exceeded.
func (b *Backlog) Add(r Record) {
	r.Count = max(1, r.Count)
	b.Account.Counted.add(&r)
	b.Account.Waiting.add(&r)
	b.records = append(b.records, r)
	b.enforceLimit()
}

// enforceLimit folds and drops records until the limit is met. It folds the queued records up to the median number of octets:
// in a burst of short connections these are most of the records but few of the octets, and records with more traffic keep their
// addresses and times.
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

// foldRecord merges a queued record into the folded record of its label and reason.
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

// dropOldest drops the oldest record. Folded records are dropped only if no other is queued, since each represents many; records
// in flight are dropped last, all at once.
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
	default: // only records in flight are left
		for i := range b.inFlight {
			b.Account.Waiting.subtract(&b.inFlight[i])
			b.Account.Lost.add(&b.inFlight[i])
		}
		b.inFlight = nil
	}
}

// popFront removes records[head].
func (b *Backlog) popFront() {
	b.records[b.head] = Record{}
	if b.head++; b.head > 64 && b.head > len(b.records)/2 {
		n := copy(b.records, b.records[b.head:])
		clear(b.records[n:])
		b.records, b.head = b.records[:n], 0
	}
}

// Take returns up to limit records to send, folded ones first, since they contain the oldest traffic. The records stay in flight
// until Sent confirms them; while some are in flight, Take returns only these.
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

// Sent confirms that the first n records in flight were sent. Take returns the others again.
func (b *Backlog) Sent(n int) {
	for i := range b.inFlight[:min(n, len(b.inFlight))] {
		b.Account.Waiting.subtract(&b.inFlight[i])
		b.Account.Exported.add(&b.inFlight[i])
	}
	b.inFlight = b.inFlight[min(n, len(b.inFlight)):]
}
