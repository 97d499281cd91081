package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/control/consensus"
)

// An answer is delivered once, to the call with its tag. Duplicate answers and answers to removed calls don't block.
func TestPendingCalls(t *testing.T) {
	c := qt.New(t)
	p := newPendingCalls()
	first, firstResult := p.add()
	second, secondResult := p.add()
	third, thirdResult := p.add()
	c.Check(first, qt.Not(qt.Equals), second)
	c.Check(p.len(), qt.Equals, 3)
	p.remove(third)
	for _, tag := range []uint64{second, second, third, third + 1} {
		p.resolve(consensus.Answer{Tag: tag})
	}
	c.Check(len(firstResult), qt.Equals, 0)
	c.Check(len(secondResult), qt.Equals, 1)
	c.Check(len(thirdResult), qt.Equals, 0)
	c.Check(p.len(), qt.Equals, 1)
	next, _ := p.add()
	c.Check(next > third, qt.IsTrue, qt.Commentf("tags are not reused"))
}
