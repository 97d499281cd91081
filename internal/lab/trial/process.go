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

// process is one deployed process: it can be signalled, ended and started again.
type process struct {
	name, ip, role, duties string
	zone, index            int
	rig                    *rig

	mu     sync.Mutex // over what follows
	cmd    *exec.Cmd
	exited chan struct{} // closed when the present incarnation has ended
	asked  bool          // the present incarnation was told to end
	starts int

	striking sync.Mutex // one signal and its consequences at a time
}

// start brings up an incarnation.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	data := ""
	if p.role == "control" {
		data = filepath.Join(p.rig.dir, p.name+".data")
	}
	path := filepath.Join(p.rig.dir, p.name+".conf")
	text := settings(p.name, p.ip, p.zone, p.role, p.duties, data, p.starts == 0)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", p.name, err)
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	defer log.Close()
	c := exec.Command(p.rig.options.Program, p.role)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Env = append(os.Environ(), "PORTFLOW_BOOT="+path, "GORACE=halt_on_error=0 atexit_sleep_ms=0")
	if n := p.rig.options.Procs; n > 0 {
		c.Env = append(c.Env, fmt.Sprintf("GOMAXPROCS=%d", n))
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.rig.options.Program, err)
	}
	p.starts++
	exited := make(chan struct{})
	p.cmd, p.exited, p.asked = c, exited, false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		asked := p.asked
		p.mu.Unlock()
		if !asked {
			p.rig.endedByItself(p, err)
		}
		close(exited)
	}()
	return nil
}

func (p *process) logPath() string { return filepath.Join(p.rig.dir, p.name+".log") }

// signal sends the present incarnation a signal.
func (p *process) signal(s syscall.Signal) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.asked = p.asked || s != syscall.SIGHUP
	p.cmd.Process.Signal(s)
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

// ended reports whether the present incarnation has ended.
func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// serves waits until the process listens, and reports whether it does. A signal that comes between the start of a program and that of
// its main function ends it whatever it would do with it, and says nothing of the program.
func (p *process) serves(within time.Duration) bool {
	address := at(p.ip, controlPort)
	if p.role == "proxy" {
		address = at(p.ip, frontPort)
	}
	for began := time.Now(); time.Since(began) < within; time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			c.Close()
			return true
		}
	}
	return false
}
