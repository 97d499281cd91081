package decision

// bucket is a token bucket. In any interval it allows at most limit plus the number of tokens added in that interval.
type bucket struct{ tokens, limit float64 }

// add adds tokens; those beyond the limit are dropped.
func (b *bucket) add(tokens float64) { b.tokens = min(b.limit, b.tokens+tokens) }

// take takes a token and reports whether one was available.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// setLimit changes the limit and drops the tokens beyond it.
func (b *bucket) setLimit(limit float64) {
	b.limit = limit
	b.add(0)
}
