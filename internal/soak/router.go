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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/internal/child"
	"github.com/chiveseam/chiveseam/platform"
)

// router runs one router process, with a relay in front of it for callers and one between it
// and the store. When the process ends, another one is started in its place. It is safe for
// concurrent use.
type router struct {
	number int
	// program is the path of the router program; dir holds its settings and log.
	program     string
	dir         string
	memoryMB    int
	callerRelay *relay
	storeRelay  *relay
	network     *reportNetwork
	checker     *checker
	// client asks the ready endpoint.
	client *http.Client

	// replaceMu is held while the process is replaced by another.
	replaceMu sync.Mutex

	// mu guards process, exitExpected, exited and closed.
	mu      sync.Mutex
	process *os.Process
	// exitExpected is set before a signal is sent that ends the process.
	exitExpected bool
	// exited is closed when the process has ended.
	exited chan struct{}
	// incarnation is the number of processes started so far.
	incarnation atomic.Int64
	// inRotation is set while callers may open new connections to the router.
	inRotation atomic.Bool
	// outOfStep is the number of faults of the router's links.
	outOfStep atomic.Int32
	closed    bool
}

// newRouter starts the relays of a router and writes its settings file. store is the IP:port of
// the store.
func newRouter(number int, c Config, store string, network *reportNetwork, checker *checker) (*router, error) {
	r := &router{
		number: number, program: c.Program, dir: c.Dir, memoryMB: c.MemoryMB, network: network, checker: checker,
		client: &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	if r.callerRelay, err = newRelay(r.address(listenPort)); err != nil {
		return nil, err
	}
	if r.storeRelay, err = newRelay(store); err != nil {
		r.callerRelay.close()
		return nil, err
	}
	return r, r.writeSettings()
}

func (r *router) settingsPath() string { return filepath.Join(r.dir, fmt.Sprintf("r%d.ini", r.number)) }

func (r *router) logPath() string { return filepath.Join(r.dir, fmt.Sprintf("r%d.log", r.number)) }

func (r *router) writeSettings() error {
	text := fmt.Sprintf("name = r%d\nzone = z%d\nlisten = %s\nready = %s\npeer = %s\nseeds = %s\nstore = %s\ngrace = %s\n",
		r.number, r.number%zones, r.address(listenPort), r.address(readyPort), r.address(peerPort(r.number)),
		loopback(1, peerPort(r.number)), r.storeRelay.address(), stopGrace)
	text += fmt.Sprintf("memory-mb = %d\nmax-open-files = 4100\n", r.memoryMB)
	return os.WriteFile(r.settingsPath(), []byte(text), 0o600)
}

// start starts a process, unless the router is closed. Its log is appended to that of the
// earlier processes.
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
	r.process, r.exitExpected, r.exited = cmd.Process, false, make(chan struct{})
	r.incarnation.Add(1)
	go r.wait(cmd, out, r.exited)
	return nil
}

// wait waits for the process to end and reports a violation if that wasn't expected.
func (r *router) wait(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	err := cmd.Wait()
	out.Close()
	r.mu.Lock()
	exitExpected := r.exitExpected
	r.mu.Unlock()
	if !exitExpected {
		if err == nil {
			err = errors.New("exit status 0")
		}
		r.checker.processExited(r.number, err)
	}
	close(exited)
}

// signal sends a signal to the process. terminates tells whether the process is expected to end
// of it.
func (r *router) signal(s syscall.Signal, terminates bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exitExpected = r.exitExpected || terminates
	if r.process != nil {
		// Signal fails if the process has ended already.
		_ = r.process.Signal(s)
	}
}

const (
	// slowPeriod is the time in which a slow router's process runs once, for slowShare of it.
	slowPeriod = 25 * time.Millisecond
	slowShare  = 0.18
)

// slowDown lets the process run for slowShare of the duration d only.
func (r *router) slowDown(d time.Duration) {
	running := time.Duration(slowShare * float64(slowPeriod))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(running) {
		r.signal(syscall.SIGSTOP, false)
		time.Sleep(slowPeriod - running)
		r.signal(syscall.SIGCONT, false)
	}
}

// replace ends the process with a signal, or with SIGKILL after stopGrace, and starts another
// one after restartDelay. It does nothing if a replacement is under way.
func (r *router) replace(s syscall.Signal, restartDelay time.Duration) error {
	if !r.replaceMu.TryLock() {
		return nil
	}
	defer r.replaceMu.Unlock()
	r.signal(s, true)
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopGrace):
		r.signal(syscall.SIGKILL, true)
		<-exited
	}
	time.Sleep(restartDelay)
	return r.start()
}

// close kills the process and closes the relays. No other process is started.
func (r *router) close() {
	r.mu.Lock()
	r.closed = true
	exited := r.exited
	r.mu.Unlock()
	r.signal(syscall.SIGKILL, true)
	if exited != nil {
		<-exited
	}
	r.callerRelay.close()
	r.storeRelay.close()
}

const (
	// readyInterval is how often the load balancer asks the ready endpoint. maxReadyMisses
	// consecutive failures take the router out of rotation.
	readyInterval  = 250 * time.Millisecond
	readyTimeout   = 250 * time.Millisecond
	maxReadyMisses = 2
)

// updateRotation updates inRotation as the platform's load balancer does, until done is closed.
func (r *router) updateRotation(done <-chan struct{}) {
	misses := 0
	for {
		select {
		case <-done:
			return
		case <-time.After(readyInterval):
		}
		r.checkMemory()
		if r.isReady() {
			misses = 0
			r.inRotation.Store(true)
			continue
		}
		if misses++; misses >= maxReadyMisses {
			r.inRotation.Store(false)
		}
	}
}

// checkMemory reports the largest amount of memory that the process has had so far.
func (r *router) checkMemory() {
	r.mu.Lock()
	process := r.process
	r.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return // the process has ended
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kib int
	if _, err := fmt.Sscanf(rest, "%d kB", &kib); err == nil {
		r.checker.memoryUsed(r.number, kib>>10, r.memoryMB)
	}
}

// isReady reports whether the ready endpoint answers 200 within readyTimeout.
func (r *router) isReady() bool {
	resp, err := r.client.Get("http://" + r.address(readyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Ports of each router at its own IP, and the port of the first target.
const (
	listenPort = 8001
	readyPort  = 8002
	targetPort = 20000
)

// loopback returns a loopback address with an IP that depends on the process ID of the soak. No
// other connection of the machine can then take a port that a restarted process listens on
// again. Each router has an IP of its own, as each instance of a deployment has.
func loopback(host, port int) string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+(pid>>8)%64), byte(pid), byte(host))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}

func (r *router) address(port int) string { return loopback(r.number+1, port) }

// targetHost is the last byte of the IP of all targets.
const targetHost = 254

func targetAddress(number int) string { return loopback(targetHost, targetPort+number) }
