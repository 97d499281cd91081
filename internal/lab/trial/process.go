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

// listenPoll is the interval between attempts to connect to a starting process.
const listenPoll = 20 * time.Millisecond

// process is a deployed process. Each start creates a new incarnation.
type process struct {
	name   string
	ip     string
	role   string // argument of the program and role in the settings
	duties string // value of "serves" in the settings
	zone   int
	index  int // index among the processes of its role
	rig    *rig

	mu            sync.Mutex // guards the fields below
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the current incarnation has exited
	stopRequested bool          // a terminating signal was sent to the current incarnation
	starts        int

	signalling sync.Mutex // held while a signal is sent and the process is restarted; acquired before mu
}

func (p *process) logPath() string      { return filepath.Join(p.rig.dir, p.name+".log") }
func (p *process) dataPath() string     { return filepath.Join(p.rig.dir, p.name+".data") }
func (p *process) settingsPath() string { return filepath.Join(p.rig.dir, p.name+".conf") }

// start writes the settings and starts a new incarnation, which appends to the process's log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer log.Close() // the child process has its own descriptor
	cmd := p.command(log)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", cmd.Path, err)
	}
	p.starts++
	now := p.rig.clock.now()
	p.rig.recordSignal(Signal{Proxy: p.proxyIndex(), Kind: Started, At: now, Until: now}, p.role)
	p.cmd = cmd
	p.exited = make(chan struct{})
	p.stopRequested = false
	go p.awaitExit(cmd, p.exited)
	return nil
}

// writeSettings writes the settings file of the next incarnation. The caller holds p.mu.
func (p *process) writeSettings() error {
	if err := os.WriteFile(p.settingsPath(), []byte(p.settings()), 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	return nil
}

// program returns the program of the next incarnation: of two releases, each process runs one after the other. The caller holds p.mu.
func (p *process) program() string {
	if p.rig.options.Former != "" && (p.starts+p.index)%2 == 0 {
		return p.rig.options.Former
	}
	return p.rig.options.Program
}

// command returns the command of a new incarnation. The kernel kills the incarnation if the trial's own process dies.
func (p *process) command(log *os.File) *exec.Cmd {
	cmd := exec.Command(p.program(), p.role)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "PORTFLOW_BOOT="+p.settingsPath(), "GORACE=halt_on_error=0 atexit_sleep_ms=0")
	if n := p.rig.options.Procs; n > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", n))
	}
	return cmd
}

// awaitExit waits until an incarnation exits, handles an unexpected exit and closes exited.
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

var signalNumbers = [...]syscall.Signal{
	Hangup:     syscall.SIGHUP,
	Terminated: syscall.SIGTERM,
	Killed:     syscall.SIGKILL,
	Stopped:    syscall.SIGSTOP,
	Continued:  syscall.SIGCONT,
}

// signal sends a signal to the current incarnation. It returns the channel that is closed when the incarnation exits, or nil if the
// process was never started.
func (p *process) signal(kind SignalKind) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.stopRequested = p.stopRequested || kind.ends()
	_ = p.cmd.Process.Signal(signalNumbers[kind]) // fails only if the process has exited, which awaitExit handles
	return p.exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	if exited := p.signal(Killed); exited != nil {
		<-exited
	}
}

// proxyIndex returns the index of a proxy, and controlProcess for a control process.
func (p *process) proxyIndex() int {
	if p.role == "proxy" {
		return p.index
	}
	return controlProcess
}

// exitsWithin waits until the current incarnation has exited, and reports whether it did so in time.
func (p *process) exitsWithin(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// hasExited reports whether the current incarnation has exited.
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

// awaitListening waits until the process accepts connections, and reports whether it did so in time. Processes are not signalled
// before that: until the program has installed its handlers, a signal has its default action and kills it.
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
