package main

import (
	"context"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"portflow/internal/router"
	"portflow/internal/router/config"
	"portflow/internal/router/site"
)

// serve runs a router until SIGTERM or SIGINT, and then drains it. On SIGHUP it reloads the configuration and applies the changed
// addresses; other changes need a restart.
func serve(c config.Config, s site.Config, load func() (config.Config, error), log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	// the rest is for the program text, about 10 MB, and for the kernel's socket buffers
	debug.SetMemoryLimit(c.Memory - max(c.Memory/4, min(c.Memory/2, 14<<20)))
	debug.SetGCPercent(400) // the live heap is about 10 MB, so fewer collections save CPU time for little memory
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	stdlog.SetOutput(io.Discard) // http.Transport logs unsolicited responses here, without a rate limit
	r, err := router.Start(context.Background(), c, s, log)
	if err != nil {
		return err
	}
	for stopping := false; !stopping; {
		select {
		case err := <-r.Failed():
			return err
		case received := <-signals:
			log.Info().Stringer("signal", received).Msg("signal")
			if stopping = received != syscall.SIGHUP; stopping {
				break
			}
			next, err := load()
			if err != nil {
				log.Error().Err(err).Msg("configuration left as it was")
				break
			}
			if fields := c.Differs(next); len(fields) > 0 {
				log.Warn().Strs("fields", fields).Msg("these need a restart")
			}
			r.UpdateAddresses(next)
		}
	}
	err = r.Drain()
	log.Info().Err(err).Msg("left")
	return nil
}
