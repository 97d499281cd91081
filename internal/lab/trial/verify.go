package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"portflow/internal/client"
)

const (
	readTimeout   = 30 * time.Second       // for one control process to answer after a restart
	minChangeTime = 700 * time.Millisecond // shortest time of changes before all control processes are killed
	maxLogBytes   = 64 << 20               // number of bytes of a process's log that are searched
)

// faultMarkers are the messages of the Go runtime for data races, panics and fatal errors.
var faultMarkers = []string{"WARNING: DATA RACE", "panic:", "fatal error:"}

// verifyConfiguration reads the configuration from each control process and checks it; when describes the occasion in reports.
func (r *rig) verifyConfiguration(ctx context.Context, when string) {
	for _, p := range r.control {
		reader := p.name + " " + when
		if err := r.verifyReader(ctx, p, reader); err != nil {
			r.violate(Violation{"CONFIGURATION: read failed", fmt.Sprintf("%s: %v", reader, err)})
		}
	}
}

// verifyReader reads the configuration from one control process and checks it; reader names the process and the occasion.
func (r *rig) verifyReader(ctx context.Context, p *process, reader string) error {
	began := time.Now()
	control := client.Client{Addresses: []string{addressOf(p.ip, controlPort)}, HTTP: r.http, Timeout: readTimeout}
	raw, err := control.Call(ctx, "configuration.read", "", nil)
	if err != nil {
		return fmt.Errorf("read configuration: failed after %v: %w", time.Since(began), err)
	}
	current, err := ParseConfiguration(raw)
	if err != nil {
		return err
	}
	r.operators.mu.Lock()
	wrong := r.operators.changes.Check(reader, current)
	r.operators.mu.Unlock()
	r.violate(wrong...)
	r.progress(fmt.Sprintf("%s: %d items read after %v, %d violations", reader, len(current),
		time.Since(began).Round(time.Millisecond), len(wrong)))
	return nil
}

// searchLogs records a violation for each fault marker in the logs of the processes.
func (r *rig) searchLogs() {
	for _, p := range r.processes() {
		log, err := readLog(p.logPath())
		if err != nil {
			r.violate(Violation{"TRIAL: cannot read log", err.Error()})
			continue
		}
		for _, marker := range faultMarkers {
			if n := bytes.Count(log, []byte(marker)); n > 0 {
				r.violate(Violation{"PROCESS: " + marker, fmt.Sprintf("%s: %d times", p.logPath(), n)})
			}
		}
	}
}

// readLog reads the first maxLogBytes of a log.
func readLog(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxLogBytes))
}
