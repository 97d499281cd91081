package flow

import "slices"

// Backlog holds a collector's records in order, under a bound of bytes. Where it is reached, light records are folded
// into ones that keep the totals of their label and reason; only where nothing is left to fold are the oldest lost.
type Backlog struct {
	Account Account

	most    int
	plain   []Record // a ring would save moving; batches are taken from the front by head
	head    int
	folded  map[fold]*Record
	order   []fold // the folded ones, the oldest first
	sending []Record
}

// fold is what records are folded by.
type fold struct {
	Label
	Reason
}

// NewBacklog makes an empty one of at most so many bytes, of which it takes as many as it needs.
func NewBacklog(bytes int) *Backlog {
	return &Backlog{most: max(16, bytes/size), folded: map[fold]*Record{}}
}

func (b *Backlog) waiting() int { return len(b.plain) - b.head }

// Bytes is about what the backlog takes now.
func (b *Backlog) Bytes() int { return size * (b.waiting() + len(b.folded) + len(b.sending)) }

// Len is how many records wait, folded ones as one.
func (b *Backlog) Len() int { return b.waiting() + len(b.folded) }

// Put takes a record in.
func (b *Backlog) Put(r Record) {
	r.Many = max(1, r.Many)
	b.Account.Counted.add(&r)
	b.Account.Waiting.add(&r)
	b.plain = append(b.plain, r)
	b.shrink()
}

// shrink keeps the bound. Records lighter than the median of those that wait are folded first: in a burst of short
// connections they are most of the records and least of the octets, and heavy ones keep their addresses and times.
func (b *Backlog) shrink() {
	if b.waiting()+len(b.folded)+len(b.sending) <= b.most {
		return
	}
	if b.waiting() > b.most/8 {
		weights := make([]uint64, 0, b.waiting())
		for _, r := range b.plain[b.head:] {
			weights = append(weights, r.Forward+r.Reverse)
		}
		slices.Sort(weights)
		light, kept := weights[len(weights)/2], b.plain[:0]
		for i := b.head; i < len(b.plain); i++ {
			if r := b.plain[i]; r.Forward+r.Reverse <= light {
				b.fold(r)
			} else {
				kept = append(kept, r)
			}
		}
		clear(b.plain[len(kept):])
		b.plain, b.head = kept, 0
	}
	for b.waiting()+len(b.folded)+len(b.sending) > b.most {
		b.lose()
	}
}

// fold adds a record that waits to the one of its label.
func (b *Backlog) fold(r Record) {
	b.Account.Waiting.take(&r)
	b.Account.Folded.add(&r)
	k := fold{r.Label, r.Reason}
	f := b.folded[k]
	if f == nil {
		f = &Record{Label: r.Label, Reason: r.Reason, Start: r.Start, End: r.End}
		b.folded[k] = f
		b.order = append(b.order, k)
	}
	f.Counts.Add(r.Counts)
	f.Start, f.End = min(f.Start, r.Start), max(f.End, r.End)
	f.Many += r.Many
	f.Connections += r.Connections
}

// lose gives the oldest up: records as they came first, as those that are folded stand for many.
func (b *Backlog) lose() {
	switch {
	case b.waiting() > 0:
		r := &b.plain[b.head]
		b.Account.Waiting.take(r)
		b.Account.Lost.add(r)
		b.drop()
	case len(b.order) > 0:
		r := b.folded[b.order[0]]
		b.Account.Folded.take(r)
		b.Account.Lost.add(r)
		delete(b.folded, b.order[0])
		b.order = b.order[1:]
	default: // all that is left is being sent
		for i := range b.sending {
			b.Account.Waiting.take(&b.sending[i])
			b.Account.Lost.add(&b.sending[i])
		}
		b.sending = nil
	}
}

// drop takes the first of the plain ones out.
func (b *Backlog) drop() {
	b.plain[b.head] = Record{}
	if b.head++; b.head > 64 && b.head > len(b.plain)/2 {
		n := copy(b.plain, b.plain[b.head:])
		clear(b.plain[n:])
		b.plain, b.head = b.plain[:n], 0
	}
}

// Take hands out up to so many records to be sent, folded ones first, as they are the oldest. They wait until Sent
// tells that they went; until then nothing more is handed out.
func (b *Backlog) Take(most int) []Record {
	if len(b.sending) > 0 {
		return b.sending
	}
	for len(b.order) > 0 && len(b.sending) < most {
		r := *b.folded[b.order[0]]
		delete(b.folded, b.order[0])
		b.order = b.order[1:]
		b.Account.Folded.take(&r)
		b.Account.Waiting.add(&r)
		b.sending = append(b.sending, r)
	}
	for b.waiting() > 0 && len(b.sending) < most {
		b.sending = append(b.sending, b.plain[b.head])
		b.drop()
	}
	return b.sending
}

// Sent tells that the first n of what was taken have been handed on; the others are handed out again.
func (b *Backlog) Sent(n int) {
	for i := range b.sending[:min(n, len(b.sending))] {
		b.Account.Waiting.take(&b.sending[i])
		b.Account.Exported.add(&b.sending[i])
	}
	b.sending = b.sending[min(n, len(b.sending)):]
}
