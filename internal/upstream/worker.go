package upstream

// maxIdleWorkers bounds the idle goroutines that wait for further attempts: about as many as there are attempts in flight
// under usual traffic.
const maxIdleWorkers = 32

// runWorker runs f on a goroutine that is idle, if there is one: a new one must first grow its stack.
func (p *Pool) runWorker(f func()) {
	select {
	case p.jobs <- f:
	default:
		go p.work(f)
	}
}

// work runs f and then further jobs. It ends when enough other workers are idle, or by Shutdown.
func (p *Pool) work(f func()) {
	for {
		f()
		f = nil // an idle worker must not keep what its last job referred to, such as a long body
		if p.idleWorkers.Add(1) > maxIdleWorkers {
			p.idleWorkers.Add(-1)
			return
		}
		select {
		case f = <-p.jobs:
		case <-p.stopped:
			return
		}
		p.idleWorkers.Add(-1)
	}
}
