package trial

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// listenPoll is how often a process is asked whether it listens.
const listenPoll = 20 * time.Millisecond

// process is one deployed process: it can be signalled, ended and started again. Each start makes a new incarnation of it.
type process struct {
	name   string
	ip     string
	role   string // of the command line and the settings
	duties string // of the settings' "serves"
	zone   int
	index  int // among those of its role
	rig    *rig

	mu            sync.Mutex // guards what follows
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the present incarnation has ended
	stopRequested bool          // the present incarnation was sent a signal that ends it
	starts        int

	signalling sync.Mutex // held for one signal and its consequences; taken before mu
}

func (p *process) logPath() string      { return filepath.Join(p.rig.dir, p.name+".log") }
func (p *process) dataPath() string     { return filepath.Join(p.rig.dir, p.name+".data") }
func (p *process) settingsPath() string { return filepath.Join(p.rig.dir, p.name+".conf") }

// start starts an incarnation.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	defer log.Close() // the process has its own
	cmd := p.command(log)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.rig.options.Program, err)
	}
	p.starts++
	p.cmd = cmd
	p.exited = make(chan struct{})
	p.stopRequested = false
	go p.awaitExit(cmd, p.exited)
	return nil
}

// writeSettings writes the settings file of the next incarnation; p.mu is held.
func (p *process) writeSettings() error {
	if err := os.WriteFile(p.settingsPath(), []byte(p.settings()), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", p.name, err)
	}
	return nil
}

// command makes the command of an incarnation, which ends with the trial's own process.
func (p *process) command(log *os.File) *exec.Cmd {
	cmd := exec.Command(p.rig.options.Program, p.role)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "PORTFLOW_BOOT="+p.settingsPath(), "GORACE=halt_on_error=0 atexit_sleep_ms=0")
	if n := p.rig.options.Procs; n > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", n))
	}
	return cmd
}

// awaitExit waits for an incarnation's end, and reports one that was not requested. It runs as a goroutine until then.
func (p *process) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	requested := p.stopRequested
	p.mu.Unlock()
	if !requested {
		p.rig.handleUnexpectedExit(p, err)
	}
	close(exited)
}

// signal sends the present incarnation a signal, and returns the channel that its end closes; nil if it was never started.
func (p *process) signal(s syscall.Signal) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.stopRequested = p.stopRequested || s != syscall.SIGHUP
	_ = p.cmd.Process.Signal(s) // fails only for a process that has ended, which awaitExit handles
	return p.exited
}

// kill ends the process at once, and waits for its end.
func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// terminate sends a SIGTERM, and a SIGKILL at the end of the grace. It reports whether the process ended by itself.
func (p *process) terminate(grace time.Duration) bool {
	exited := p.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(grace):
	}
	p.kill()
	return false
}

// hasExited reports whether the present incarnation has ended.
func (p *process) hasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// awaitListening waits until the process listens, and reports whether it does. A signal that comes between the start of a program and
// that of its main function ends it whatever it would do with it, and says nothing of the program.
func (p *process) awaitListening(within time.Duration) bool {
	address := addressOf(p.ip, controlPort)
	if p.role == "proxy" {
		address = addressOf(p.ip, frontPort)
	}
	for began := time.Now(); time.Since(began) < within; time.Sleep(listenPoll) {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			c.Close()
			return true
		}
	}
	return false
}
