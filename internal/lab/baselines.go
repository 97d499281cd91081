package lab

import (
	"portflow/internal/dispatch"
	"portflow/internal/random"
	"portflow/internal/retryguard"
)

type guard = dispatch.Guard

// fixed has everyone who is sent away come back after the longest advice.
type fixed struct{}

func (*fixed) Take(int64, *retryguard.Try) (bool, int64)                          { return true, 0 }
func (*fixed) Dismissed(int64, *retryguard.Try, int64) int64                      { return maxTold }
func (*fixed) HandedOff(int64, *retryguard.Try, int)                              {}
func (*fixed) Unserved(int64, *retryguard.Try)                                    {}
func (*fixed) Ended(int64, *retryguard.Try, uint32, retryguard.Sign, bool, int64) {}
func (*fixed) List(int64, bool, []retryguard.Host)                                {}

// budget lets marked further tries in up to a tenth of what is fulfilled.
type budget struct {
	fixed
	have float64
}

func (b *budget) Take(_ int64, t *retryguard.Try) (bool, int64) {
	if !t.Marked {
		return true, 0
	}
	if b.have < 1 {
		return false, maxTold / 4
	}
	b.have--
	return true, 0
}

func (b *budget) Ended(_ int64, _ *retryguard.Try, _ uint32, _ retryguard.Sign, fulfilled bool, _ int64) {
	if fulfilled {
		b.have = min(20, b.have+0.1)
	}
}

// throttle turns tries away by chance, the more of them beyond twice what was accepted of late: the adaptive throttle
// that clients use, at the router.
type throttle struct {
	fixed
	draw            random.Source
	asked, accepted float64
	at              int64
}

func (t *throttle) fade(now int64) {
	for ; t.at < now; t.at += int64(step) { // a memory of 10 s
		t.asked *= 0.99
		t.accepted *= 0.99
		if now-t.at > 1e10 {
			t.at = now
		}
	}
}

func (t *throttle) Take(now int64, _ *retryguard.Try) (bool, int64) {
	t.fade(now)
	t.asked++
	if t.draw.Next() < (t.asked-2*t.accepted)/(t.asked+1) {
		return false, maxTold / 4
	}
	return true, 0
}

func (t *throttle) Ended(_ int64, _ *retryguard.Try, _ uint32, _ retryguard.Sign, fulfilled bool, _ int64) {
	if fulfilled {
		t.accepted++
	}
}
