package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/internal/child"
	"github.com/chiveseam/chiveseam/platform"
)

// router is one router process with the relays of its callers and of its store. A new
// process takes the place of one that ended. It is safe for concurrent use.
type router struct {
	number  int
	program string
	dir     string
	callers *relay
	store   *relay
	judge   *judge
	client  *http.Client

	// replacing is held while the process is replaced.
	replacing sync.Mutex

	mu      sync.Mutex
	process *os.Process
	// expected is set before a signal that ends the process.
	expected bool
	ended    chan struct{}
	boot     atomic.Int64
	rotation atomic.Bool
	closed   bool
}

func newRouter(number int, c Config, store string, j *judge) (*router, error) {
	r := &router{
		number: number, program: c.Program, dir: c.Dir, judge: j,
		client: &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	if r.callers, err = newRelay(r.address(listenPort)); err != nil {
		return nil, err
	}
	if r.store, err = newRelay(store); err != nil {
		r.callers.close()
		return nil, err
	}
	return r, r.writeSettings()
}

func (r *router) settingsPath() string { return filepath.Join(r.dir, fmt.Sprintf("r%d.ini", r.number)) }

func (r *router) logPath() string { return filepath.Join(r.dir, fmt.Sprintf("r%d.log", r.number)) }

func (r *router) writeSettings() error {
	text := fmt.Sprintf("name = r%d\nzone = z%d\nlisten = %s\nready = %s\npeer = %s\nseeds = %s\nstore = %s\ngrace = %s\n",
		r.number, r.number%zones, r.address(listenPort), r.address(readyPort), r.address(peerPort),
		loopback(1, peerPort), r.store.address(), grace)
	text += fmt.Sprintf("memory-mb = %d\nmax-open-files = 2000\n", memoryMB)
	return os.WriteFile(r.settingsPath(), []byte(text), 0o600)
}

// start begins a process. Its log goes on in the same file.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	out, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.program, "--settings", r.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = child.EndWithParent()
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	r.process, r.expected, r.ended = cmd.Process, false, make(chan struct{})
	r.boot.Add(1)
	go r.wait(cmd, out, r.ended)
	return nil
}

func (r *router) wait(cmd *exec.Cmd, out *os.File, ended chan struct{}) {
	err := cmd.Wait()
	out.Close()
	r.mu.Lock()
	expected := r.expected
	r.mu.Unlock()
	if !expected {
		if err == nil {
			err = errors.New("exit status 0")
		}
		r.judge.exited(r.number, err)
	}
	close(ended)
}

// signal sends a signal; ends says that the process is to end of it.
func (r *router) signal(s syscall.Signal, ends bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = r.expected || ends
	if r.process != nil {
		// A process that has ended takes no signal.
		_ = r.process.Signal(s)
	}
}

// replace ends the process by a signal and starts another after a pause, unless that
// is under way.
func (r *router) replace(s syscall.Signal, after time.Duration) error {
	if !r.replacing.TryLock() {
		return nil
	}
	defer r.replacing.Unlock()
	r.signal(s, true)
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		r.signal(syscall.SIGKILL, true)
		<-ended
	}
	time.Sleep(after)
	return r.start()
}

// close ends the process for good.
func (r *router) close() {
	r.mu.Lock()
	r.closed = true
	ended := r.ended
	r.mu.Unlock()
	r.signal(syscall.SIGKILL, true)
	if ended != nil {
		<-ended
	}
	r.callers.close()
	r.store.close()
}

const (
	// readyInterval is how often the balancer asks, and readyMisses the misses in a
	// row that take a router out.
	readyInterval = 250 * time.Millisecond
	readyTimeout  = 250 * time.Millisecond
	readyMisses   = 2
)

// watchReady keeps the rotation as the platform's balancer does.
func (r *router) watchReady(done <-chan struct{}) {
	misses := 0
	for {
		select {
		case <-done:
			return
		case <-time.After(readyInterval):
		}
		if r.isReady() {
			misses = 0
			r.rotation.Store(true)
			continue
		}
		if misses++; misses >= readyMisses {
			r.rotation.Store(false)
		}
	}
}

func (r *router) isReady() bool {
	resp, err := r.client.Get("http://" + r.address(readyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Ports of a router, at its own address, and the first of the targets.
const (
	listenPort = 8001
	readyPort  = 8002
	peerPort   = 8003
	targetPort = 20000
)

// loopback returns an address of the run's own, so that no other connection of the
// machine takes a port to which a restarted process comes back. Each router has an
// address, as an instance has.
func loopback(host, port int) string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+(pid>>8)%64), byte(pid), byte(host))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}

func (r *router) address(port int) string { return loopback(r.number+1, port) }

// targetHost is the host number of all targets.
const targetHost = 254

func targetAddress(number int) string { return loopback(targetHost, targetPort+number) }
