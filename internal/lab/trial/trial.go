// Package trial runs the deployed program on loopback as three control processes and nine proxies, puts them under load, changes the
// configuration and signals the processes. From what clients, hosts and operators saw, it then checks that each request that a proxy
// read got one complete response and ran no more often than allowed, and that each acknowledged change is read back.
//
// The package treats the processes as black boxes: it uses only sockets, exit codes and logs. Run is the entry point; Judge and Changes
// contain the rules and do no I/O.
package trial

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// loadPhases are the phases of the load as fractions of Options.Lasts: no changes, changes, changes with processes being signalled. The
// rest is without changes again.
type loadPhases struct{ steady, changes, signalled float64 }

var (
	trialPhases  = loadPhases{steady: 0.12, changes: 0.40, signalled: 0.40}
	seriesPhases = loadPhases{steady: 0.05, changes: 0.05, signalled: 0.85} // of a trial with signal series
)

func (p loadPhases) rest() float64 { return 1 - p.steady - p.changes - p.signalled }

func (o Options) phases() loadPhases {
	if o.Series > 0 {
		return seriesPhases
	}
	return trialPhases
}

// Stream numbers for rig.rng. Each operator, restart, host and client has its own, in a range that begins at the first one.
const (
	firstOperatorStream = 1
	signalStream        = 500
	probeStream         = 501
	firstRestartStream  = 600
	firstHostStream     = 1000
	firstClientStream   = 10_000
)

// calmTime is how long the load goes on undisturbed: until all processes are in touch, and for as long again.
var calmTime = 2 * terms.Contact

// settleTime is the wait after the load for hosts to record late duplicates of requests.
const settleTime = time.Second

// Run runs a trial and returns its report. It returns an error only if the trial could not start; broken rules are in the report. All
// processes that it started have exited when it returns.
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
	r.probeProxies(ctx)
	r.searchLogs()
	return r.report(), nil
}

// startConfiguration sends the initial configuration, waits until the proxies are ready, and returns the operators.
func (r *rig) startConfiguration(ctx context.Context) ([]*operator, error) {
	first := r.operators.newOperator(0, r.rng(firstOperatorStream))
	if err := first.sendInitial(ctx); err != nil {
		return nil, fmt.Errorf("send initial configuration: %w", err)
	}
	if err := r.awaitReady(); err != nil {
		return nil, err
	}
	r.progress("initial configuration acknowledged, all proxies ready")
	first.dropNames(ctx, r.options.Drops)
	all := []*operator{first}
	for n := 1; n < operatorCount; n++ {
		all = append(all, r.operators.newOperator(n, r.rng(uint64(firstOperatorStream+n))))
	}
	return all, nil
}

// runLoad runs the clients through all phases of the load.
func (r *rig) runLoad(ctx context.Context, operators []*operator) {
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for n := range r.options.Clients {
		c := r.newClient(n)
		clients.Go(func() { c.run(stopClients) })
	}
	phases := r.options.phases()
	phase := func(fraction float64) time.Duration { return time.Duration(fraction * float64(r.options.Lasts)) }
	wait(ctx, phase(phases.steady))
	stopOperators := runOperators(ctx, operators)
	r.progress("changes")
	wait(ctx, phase(phases.changes))
	r.progress("changes and signals")
	r.signalProcesses(ctx, r.drawSeries(phase(phases.signalled)))
	stopOperators()
	r.progress("no more changes")
	wait(ctx, max(phase(phases.rest())+terms.Configuration+time.Second, calmTime))
	close(stopClients)
	clients.Wait()
	wait(ctx, settleTime)
}

// drawSeries returns the signal series for a duration: those of a single signal, and longer ones.
func (r *rig) drawSeries(duration time.Duration) []series {
	drawer := seriesDrawer{rng: r.rng(signalStream), proxies: len(r.proxies), controls: len(r.control)}
	all := drawer.drawSingle(r.options.Kills, duration)
	all = append(all, drawer.draw(r.options.Series, duration)...)
	sortSeries(all)
	return all
}

// newClient returns client n. Styles are assigned round robin.
func (r *rig) newClient(n int) *trialClient {
	styles := []Style{KeepAlive, Pipelined, Idling, OneRequest, Persistent}
	return &trialClient{
		rig:   r,
		name:  fmt.Sprintf("%016x-%d", r.options.Seed, n),
		style: styles[n%len(styles)],
		rng:   r.rng(uint64(firstClientStream + n)),
	}
}

// runOperators runs operators in the background. The returned function stops them and waits for them.
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

// wait waits for a duration or until ctx is done.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// restartControl kills all control processes together while operators send changes, restarts them and verifies the configuration.
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
	r.verifyConfiguration(ctx, fmt.Sprintf("after restart %d of all control processes", n+1))
}
