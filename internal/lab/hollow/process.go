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

// Roles of the child processes.
const (
	controlRole = "harbourmaster"
	proxyRole   = "fairway"
)

// childStart is the first line that a child process reads from its standard input, as JSON.
type childStart struct {
	Role     string            `json:"Role"`
	Settings settings.Settings `json:"Boot"`
	DataDir  string            `json:"Data"`
	Seed     uint64            `json:"Seed"`
}

// ProcessStats is the resource usage of a process. CPU time, allocations and frames are totals since its start.
type ProcessStats struct {
	CPU        time.Duration `json:"cpu_ns"` // user and system time
	RSS        int64         `json:"rss_bytes"`
	Peak       int64         `json:"peak_bytes"`
	Heap       int64         `json:"heap_bytes"`
	Allocated  int64         `json:"allocated_bytes"`
	Mallocs    int64         `json:"mallocs"`
	OpenFiles  int           `json:"descriptors"`
	FramesSent int64         `json:"said"`       // frames written to streams
	BytesSent  int64         `json:"said_bytes"` // bytes of these frames
	Heartbeats int64         `json:"beats"`      // empty frames written
	DiskBytes  int64         `json:"disk_bytes"`
}

// RunChild runs a control process or a proxy until in ends. The first line of in is a childStart; each further line is a command
// (stat, cut or profile). Every line is answered with one line of JSON on out.
func RunChild(in io.Reader, out io.Writer) error {
	commands := bufio.NewReader(in)
	first, err := commands.ReadBytes('\n')
	if err != nil {
		return err
	}
	var started childStart
	if err := json.Unmarshal(first, &started); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(started.Settings.MemoryMB) << 20 * 3 / 5)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	partitioned := &partitionedNetwork{localIP: started.Settings.IP}
	switch started.Role {
	case controlRole:
		disk, err := store.OpenDir(started.DataDir)
		if err != nil {
			return err
		}
		if err := startControl(ctx, started, partitioned, disk); err != nil {
			return err
		}
	case proxyRole:
		if _, err := proxy.Start(ctx, proxy.Options{Settings: started.Settings, Network: partitioned, Seed: started.Seed}); err != nil {
			return err
		}
	default:
		return fmt.Errorf("unknown role %q", started.Role)
	}
	fmt.Fprintln(out, "{}")
	for {
		command, err := commands.ReadString('\n')
		if err != nil {
			pprof.StopCPUProfile()
			return nil
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(command), " ")
		var answer any = struct{}{}
		switch verb {
		case "stat":
			answer = processStats(started.DataDir)
		case "cut": // without prefixes: ends the partition
			partitioned.setBlocked(strings.Fields(rest))
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

func startControl(ctx context.Context, started childStart, partitioned network.Network, disk storage.Storage) error {
	_, err := server.Start(ctx, server.Options{Settings: started.Settings, MinPerZone: 1, Network: partitioned, Storage: disk, Seed: started.Seed})
	return err
}

func processStats(dataDir string) (stats ProcessStats) {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for invalid arguments
	stats.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	stats.Peak = usage.Maxrss << 10
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	stats.Heap, stats.Allocated, stats.Mallocs = int64(memory.HeapAlloc), int64(memory.TotalAlloc), int64(memory.Mallocs)
	if raw, err := os.ReadFile("/proc/self/statm"); err == nil {
		var size, pages int64
		_, _ = fmt.Sscan(string(raw), &size, &pages) // RSS stays 0 if the format is unknown
		stats.RSS = pages * int64(os.Getpagesize())
	}
	if files, err := os.ReadDir("/proc/self/fd"); err == nil {
		stats.OpenFiles = len(files)
	}
	stats.FramesSent, stats.BytesSent, stats.Heartbeats = stream.FramesWritten.Load(), stream.FrameBytesWritten.Load(), stream.HeartbeatsWritten.Load()
	if dataDir != "" {
		_ = filepath.WalkDir(dataDir, func(_ string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				if i, err := d.Info(); err == nil {
					stats.DiskBytes += i.Size()
				}
			}
			return nil
		})
	}
	return stats
}

// partitionedNetwork is the host network with emulated partitions: packets to blocked addresses are dropped silently, a write to a
// blocked peer closes the connection, and dialing a blocked address blocks until the context is done.
type partitionedNetwork struct {
	localIP string
	mu      sync.Mutex // guards blocked
	blocked []string   // prefixes of IP addresses
}

var errUnreachable = errors.New("destination is unreachable: network partition")

func (n *partitionedNetwork) setBlocked(prefixes []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = prefixes
}

func (n *partitionedNetwork) isBlocked(ip string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.blocked {
		if strings.HasPrefix(ip, p) {
			return true
		}
	}
	return false
}

func (n *partitionedNetwork) Dial(ctx context.Context, proto, target string) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(target)
	if n.isBlocked(host) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	dialer := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.localIP)}}
	c, err := dialer.DialContext(ctx, proto, target)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{c, n, host}, nil
}

func (n *partitionedNetwork) Listen(at string) (net.Listener, error) {
	l, err := network.Host{}.Listen(at)
	return partitionedListener{l, n}, err
}

func (n *partitionedNetwork) ListenPacket(at string) (net.PacketConn, error) {
	c, err := network.Host{}.ListenPacket(at)
	return partitionedPacketConn{c, n}, err
}

type partitionedListener struct {
	net.Listener
	network *partitionedNetwork
}

func (l partitionedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return &partitionedConn{c, l.network, host}, nil
}

type partitionedConn struct {
	net.Conn
	network *partitionedNetwork
	peer    string
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.network.isBlocked(c.peer) {
		c.Close() // the stream can't continue after a lost frame
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type partitionedPacketConn struct {
	net.PacketConn
	network *partitionedNetwork
}

func (c partitionedPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if host, _, err := net.SplitHostPort(to.String()); err == nil && c.network.isBlocked(host) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// childProcess is the parent's handle of a child process.
type childProcess struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
	mu     sync.Mutex // serializes calls
	log    *os.File   // standard error of the child
}

// startChild starts this executable as a child process, with command as its arguments, and waits until the child has started its
// role. The child is killed when its parent dies.
func startChild(command []string, started childStart, logPath string) (*childProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, command...)
	cmd.Stderr = logFile
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &childProcess{cmd: cmd, log: logFile}
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.stdout = bufio.NewReader(out)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(started)
	if err != nil {
		return nil, err
	}
	return p, p.call(string(raw), nil)
}

// call sends a command line to the child and decodes its answer into answer, which may be nil.
func (p *childProcess) call(command string, answer any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := fmt.Fprintln(p.stdin, command); err != nil {
		return err
	}
	raw, err := p.stdout.ReadBytes('\n')
	if err != nil {
		reason := []byte("no log output")
		if all, err := os.ReadFile(p.log.Name()); err == nil && len(all) > 0 {
			reason = all[max(0, len(all)-400):]
		}
		return fmt.Errorf("child process did not answer: %w: %s", err, reason)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(raw, answer)
}

func (p *childProcess) kill() {
	_ = p.cmd.Process.Kill() // fails if the process has already exited
	_ = p.cmd.Wait()         // the exit status does not matter
	p.log.Close()
}
