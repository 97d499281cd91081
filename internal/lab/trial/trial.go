// Package trial runs the deployed programs on loopback, three control processes and nine proxies, under load, while the
// configuration changes and processes are signalled, and judges what clients, hosts and operators saw: whether each request that was
// read got one complete answer, ran no more often than it may, and whether each acknowledged change is read back.
//
// It owns the processes that it starts, its clients, hosts and operators, and their records. It never looks into a process: it knows
// what goes over sockets, exit codes and logs. Begin reading at Run; the rules are in Judge and Changes, which are pure.
package trial

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The fractions of the load's duration: calm, changes, changes beside signals; what is left is calm again.
const (
	steadyFraction  = 0.12
	changesFraction = 0.40
	signalFraction  = 0.40
)

// Parts of the trial that have a random source of their own, see rig.rng.
const (
	firstOperatorStream = 1
	signalStream        = 500
	firstRestartStream  = 600
	firstHostStream     = 1000
	firstClientStream   = 10_000
)

// settleTime is how long after the load a second run of a request would still come.
const settleTime = time.Second

// Run runs a trial and returns its report. The processes that it starts have ended when it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	r, err := newRig(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.stop()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	r.startHosts(ctx, &background)
	operators, err := r.startConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	r.runLoad(ctx, operators)
	r.loadDone.Store(true)
	r.verifyConfiguration(ctx, "after the load")
	for n := range o.Restarts {
		r.restartControl(ctx, operators, n)
	}
	r.searchLogs()
	return r.report(), nil
}

// startConfiguration sends the first configuration, waits until the proxies have it, and returns the operators.
func (r *rig) startConfiguration(ctx context.Context) ([]*operator, error) {
	first := r.operators.newOperator(0, r.rng(firstOperatorStream))
	if err := first.sendInitial(ctx); err != nil {
		return nil, fmt.Errorf("the first configuration: %w", err)
	}
	if err := r.awaitReady(); err != nil {
		return nil, err
	}
	r.progress("the configuration is acknowledged, all proxies are ready")
	all := []*operator{first}
	for n := 1; n < operatorCount; n++ {
		all = append(all, r.operators.newOperator(n, r.rng(uint64(firstOperatorStream+n))))
	}
	return all, nil
}

// runLoad has clients send requests through all parts of the load.
func (r *rig) runLoad(ctx context.Context, operators []*operator) {
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for n := range r.options.Clients {
		c := r.newClient(n)
		clients.Go(func() { c.run(stopClients) })
	}
	phase := func(fraction float64) time.Duration { return time.Duration(fraction * float64(r.options.Lasts)) }
	wait(ctx, phase(steadyFraction))
	stopOperators := runOperators(ctx, operators)
	r.progress("changes")
	wait(ctx, phase(changesFraction))
	r.progress("changes and signals")
	r.signalProcesses(ctx, r.rng(signalStream), phase(signalFraction))
	stopOperators()
	r.progress("no more changes")
	wait(ctx, phase(1-steadyFraction-changesFraction-signalFraction)+terms.Configuration+time.Second)
	close(stopClients)
	clients.Wait()
	wait(ctx, settleTime)
}

// newClient makes the client of a number; styles take turns.
func (r *rig) newClient(n int) *trialClient {
	styles := []Style{KeepAlive, Pipelined, Idling, OneRequest}
	return &trialClient{
		rig:   r,
		name:  fmt.Sprintf("%016x-%d", r.options.Seed, n),
		style: styles[n%len(styles)],
		rng:   r.rng(uint64(firstClientStream + n)),
	}
}

// runOperators runs operators in the background. The function that it returns stops them and waits for their end.
func runOperators(ctx context.Context, operators []*operator) (stop func()) {
	changing, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, o := range operators {
		running.Go(func() { o.run(changing) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// wait waits for a duration, or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// restartControl kills all control processes at once, in the midst of changes, starts them again and reads from each.
func (r *rig) restartControl(ctx context.Context, operators []*operator, n int) {
	stopOperators := runOperators(ctx, operators)
	wait(ctx, minChangeTime+time.Duration(r.rng(uint64(firstRestartStream+n)).Int64N(int64(minChangeTime))))
	var killed sync.WaitGroup
	for _, p := range r.control {
		killed.Go(p.kill)
	}
	killed.Wait()
	stopOperators()
	for _, p := range r.control {
		r.restart(p)
	}
	r.verifyConfiguration(ctx, fmt.Sprintf("after all were killed, %d", n+1))
}
