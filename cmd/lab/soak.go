package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"portflow/internal/lab/trial"
)

// soakOptions configure a soak: trials with consecutive seeds, each of which draws the options of its trial.
type soakOptions struct {
	seeds      int // number of trials
	parallel   int // trials at a time, each in a block of addresses of its own
	crowd      int // proxies per zone of a crowded trial
	crowdEvery int // one in this many trials is crowded; 0 for none
}

// validate returns an error if the options are out of range. Block is the first block of addresses.
func (o soakOptions) validate(block int) error {
	if limit := trial.MaxBlock + 1 - block; o.parallel < 1 || o.parallel > limit {
		return fmt.Errorf("--parallel: %d is not from 1 to %d", o.parallel, limit)
	}
	if o.crowdEvery < 0 || o.crowd < 1 {
		return fmt.Errorf("--crowd-every: %d and --crowd: %d must not be negative or 0", o.crowdEvery, o.crowd)
	}
	return nil
}

// isCrowded reports whether the trial with a number, from 0, is crowded.
func (o soakOptions) isCrowded(number int) bool {
	return o.crowdEvery > 0 && number%o.crowdEvery == o.crowdEvery-1
}

// soak runs trials with consecutive seeds, and prints a line for each and the report of those with violations. It returns an error if there
// were violations or a trial could not start.
func soak(ctx context.Context, base trial.Options, o soakOptions, asJSON bool) error {
	if err := o.validate(base.Block); err != nil {
		return err
	}
	s := soaker{options: o, base: base, asJSON: asJSON, blocks: make(chan int, o.parallel)}
	for block := range o.parallel {
		s.blocks <- block
	}
	var running sync.WaitGroup
	for number := range o.seeds {
		block := <-s.blocks
		running.Go(func() {
			s.run(ctx, number, block)
			s.blocks <- block
		})
	}
	running.Wait()
	fmt.Printf("soak: %d trials, %d with violations, %d not started\n", o.seeds, s.violated, s.failed)
	if s.violated+s.failed > 0 {
		return fmt.Errorf("%d of %d trials with violations, %d not started", s.violated, o.seeds, s.failed)
	}
	return nil
}

// soaker runs the trials of a soak.
type soaker struct {
	options soakOptions
	base    trial.Options
	asJSON  bool
	blocks  chan int // free blocks of addresses

	mu       sync.Mutex // guards the fields below and the output
	violated int
	failed   int
}

// run runs the trial with a number in a block of addresses.
func (s *soaker) run(ctx context.Context, number, block int) {
	crowd := 0
	if s.options.isCrowded(number) {
		crowd = s.options.crowd
	}
	o := s.base.ForSeed(s.base.Seed+uint64(number), crowd)
	o.Block = s.base.Block + block
	if o.Dir != "" {
		o.Dir = filepath.Join(o.Dir, fmt.Sprint("seed-", o.Seed))
	}
	began := time.Now()
	report, err := trial.Run(ctx, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		fmt.Printf("seed %d: not started: %v\n", o.Seed, err)
		return
	}
	s.print(os.Stdout, report, time.Since(began))
}

// print prints the result of a trial. The caller holds mu.
func (s *soaker) print(w io.Writer, r *trial.Report, took time.Duration) {
	fmt.Fprintf(w, "seed %d: %d processes, %d requests, %v changes, signalled %d times, %.0f s, %d violations\n",
		r.Seed, r.Processes, r.Requests, r.Results, len(r.SignalLog), took.Seconds(), r.Violated)
	if r.Violated > 0 {
		s.violated++
	}
	switch {
	case s.asJSON:
		if err := json.NewEncoder(w).Encode(r); err != nil {
			fmt.Fprintln(os.Stderr, "encode the report:", err)
		}
	case r.Violated > 0:
		r.Write(w)
	}
}
