package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/network"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/stream"
	"portflow/internal/control/server"
	"portflow/internal/control/store"
	"portflow/internal/proxy"
)

// The roles of the processes that a play starts.
const (
	control = "harbourmaster"
	traffic = "fairway"
)

// start is what a child process is told first.
type start struct {
	Role string            `json:"Role"`
	Boot settings.Settings `json:"Boot"`
	Data string            `json:"Data"`
	Seed uint64            `json:"Seed"`
}

// Stat is what a process has spent since its start.
type Stat struct {
	CPU       time.Duration `json:"cpu_ns"` // by getrusage
	RSS       int64         `json:"rss_bytes"`
	Peak      int64         `json:"peak_bytes"`
	Heap      int64         `json:"heap_bytes"`
	Allocated int64         `json:"allocated_bytes"`
	Mallocs   int64         `json:"mallocs"`
	Open      int           `json:"descriptors"`
	Said      int64         `json:"said"`       // frames on lines
	SaidBytes int64         `json:"said_bytes"` // of them
	Beats     int64         `json:"beats"`      // empty frames
	Disk      int64         `json:"disk_bytes"`
}

// Child runs a process of a play until its input ends: a start first, then words, each answered by a line.
func Child(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	var s start
	if err := json.Unmarshal(first, &s); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.Boot.MemoryMB) << 20 * 3 / 5)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	water := &fenced{own: s.Boot.IP}
	switch s.Role {
	case control:
		disk, err := store.OpenDir(s.Data)
		if err != nil {
			return err
		}
		if err := master(ctx, s, water, disk); err != nil {
			return err
		}
	case traffic:
		if _, err := proxy.Start(ctx, proxy.Options{Settings: s.Boot, Network: water, Seed: s.Seed}); err != nil {
			return err
		}
	default:
		return fmt.Errorf("role: %q", s.Role)
	}
	fmt.Fprintln(out, "{}")
	for {
		word, err := lines.ReadString('\n')
		if err != nil {
			pprof.StopCPUProfile()
			return nil
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(word), " ")
		var answer any = struct{}{}
		switch verb {
		case "stat":
			answer = stat(s.Data)
		case "cut": // no prefix: joined again
			water.cut(strings.Fields(rest))
		case "profile":
			pprof.StopCPUProfile()
			if rest != "" {
				f, err := os.Create(rest)
				if err != nil {
					return err
				}
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
			}
		}
		raw, _ := json.Marshal(answer)
		fmt.Fprintln(out, string(raw))
	}
}

func master(ctx context.Context, s start, water network.Network, disk storage.Storage) error {
	_, err := server.Start(ctx, server.Options{Settings: s.Boot, MinPerZone: 1, Network: water, Storage: disk, Seed: s.Seed})
	return err
}

func stat(data string) (s Stat) {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	s.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	s.Peak = u.Maxrss << 10
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.Heap, s.Allocated, s.Mallocs = int64(m.HeapAlloc), int64(m.TotalAlloc), int64(m.Mallocs)
	if raw, err := os.ReadFile("/proc/self/statm"); err == nil {
		var size, pages int64
		fmt.Sscan(string(raw), &size, &pages)
		s.RSS = pages * int64(os.Getpagesize())
	}
	if all, err := os.ReadDir("/proc/self/fd"); err == nil {
		s.Open = len(all)
	}
	s.Said, s.SaidBytes, s.Beats = stream.FramesWritten.Load(), stream.FrameBytesWritten.Load(), stream.HeartbeatsWritten.Load()
	if data != "" {
		filepath.WalkDir(data, func(_ string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				if i, err := d.Info(); err == nil {
					s.Disk += i.Size()
				}
			}
			return nil
		})
	}
	return s
}

// fenced is the machine's network, of which parts can be cut off: what is sent there is lost without a word.
type fenced struct {
	own string
	mu  sync.Mutex
	off []string // prefixes of addresses

}

var errOff = errors.New("no way there")

func (f *fenced) cut(prefixes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.off = prefixes
}

func (f *fenced) away(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.off {
		if strings.HasPrefix(ip, p) {
			return true
		}
	}
	return false
}

func (f *fenced) Dial(ctx context.Context, network, to string) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(to)
	if f.away(host) {
		<-ctx.Done()
		return nil, errOff
	}
	d := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.own)}}
	c, err := d.DialContext(ctx, network, to)
	if err != nil {
		return nil, err
	}
	return &fencedConn{c, f, host}, nil
}

func (f *fenced) Listen(at string) (net.Listener, error) {
	l, err := network.Host{}.Listen(at)
	return fencedListener{l, f}, err
}

func (f *fenced) ListenPacket(at string) (net.PacketConn, error) {
	c, err := network.Host{}.ListenPacket(at)
	return fencedPacket{c, f}, err
}

type fencedListener struct {
	net.Listener
	f *fenced
}

func (l fencedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return &fencedConn{c, l.f, host}, nil
}

type fencedConn struct {
	net.Conn
	f    *fenced
	peer string
}

func (c *fencedConn) Write(b []byte) (int, error) {
	if c.f.away(c.peer) {
		c.Conn.Close() // a frame that is lost can't be made good later
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type fencedPacket struct {
	net.PacketConn
	f *fenced
}

func (c fencedPacket) WriteTo(b []byte, to net.Addr) (int, error) {
	if host, _, err := net.SplitHostPort(to.String()); err == nil && c.f.away(host) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// process is a child as its parent holds it.
type process struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
	mu  sync.Mutex
	log *os.File
}

// spawn starts a child: this very program, told to be one by the command word.
func spawn(command []string, s start, log string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	f, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	c := exec.Command(self, command...)
	c.Stderr = f
	c.Env = append(os.Environ(), "GOMAXPROCS=1")
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{cmd: c, log: f}
	if p.in, err = c.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	if err := c.Start(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return p, p.ask(string(raw), nil)
}

func (p *process) ask(word string, answer any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := fmt.Fprintln(p.in, word); err != nil {
		return err
	}
	raw, err := p.out.ReadBytes('\n')
	if err != nil {
		why := []byte("no word")
		if all, err := os.ReadFile(p.log.Name()); err == nil && len(all) > 0 {
			why = all[max(0, len(all)-400):]
		}
		return fmt.Errorf("a process has ended: %w: %s", err, why)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(raw, answer)
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
	p.log.Close()
}
