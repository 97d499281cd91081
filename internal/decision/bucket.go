package decision

// bucket is a token bucket: what it allows in any span of time is its limit and what was added in that time.
type bucket struct{ tokens, limit float64 }

// add adds tokens, up to the limit.
func (b *bucket) add(tokens float64) { b.tokens = min(b.limit, b.tokens+tokens) }

// take takes a token if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// setLimit changes the limit, and drops the tokens beyond it.
func (b *bucket) setLimit(limit float64) {
	b.limit = limit
	b.add(0)
}
