package upstream

// maxIdleWorkers bounds the idle worker goroutines: about as many as there are attempts in flight under normal load.
const maxIdleWorkers = 32

// runWorker runs f on an idle worker if there is one, and on a new worker otherwise. Workers are reused because a new
// goroutine has to grow its stack first.
func (p *Pool) runWorker(f func()) {
	select {
	case p.jobs <- f:
	default:
		go p.work(f)
	}
}

// work runs f and then other jobs. It returns when maxIdleWorkers other workers are idle, or when it is idle after Shutdown.
func (p *Pool) work(f func()) {
	for {
		f()
		f = nil // release what the job refers to, such as a large body, while the worker is idle
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
