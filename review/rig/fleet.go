package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment that the scripts imitate: 6 machines in 4 zones of one region.
const (
	graceS    = 8
	drainTime = 2 * time.Second
	contact   = 3 * time.Second
)

var zoneNames = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// fleet runs the project's router processes, each with an address of its own in 127.0.0.0/8.
type fleet struct {
	dir, program string
	store        string
	ports        map[string]int
	machines     []*machine
	record       *record
}

// machine is one entry machine with its router process.
type machine struct {
	fleet    *fleet
	name     string
	ip, zone string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // the rig has sent a signal that ends the process
	began   time.Time
	misses  int
	ready   bool
}

// newFleet plans n machines. firstIP tells scripts that run side by side apart.
func newFleet(dir, root, store string, record *record, n int) (*fleet, error) {
	f := &fleet{dir: dir, program: filepath.Join(root, "target", "chiveseam-edge"), store: store, record: record, ports: map[string]int{}}
	for _, name := range []string{"listen", "ready", "peer", "metrics", "control"} {
		// Each port is held until all are chosen, so that none is chosen twice.
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		f.ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	pid := os.Getpid()
	for i := range n {
		f.machines = append(f.machines, &machine{
			fleet: f, name: fmt.Sprintf("front-%d", i+1), zone: zoneNames[i%len(zoneNames)],
			ip: fmt.Sprintf("127.%d.%d.%d", 10+pid>>8&0x3f, pid&0xff, 10+i),
		})
	}
	return f, nil
}

func (m *machine) at(port string) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports[port]) }

// writeSettings writes what deploy/edge.ini.template gives for this machine.
func (m *machine) writeSettings() error {
	f := m.fleet
	var seeds, regions []string
	for _, other := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, other.at("control"))
	}
	for _, zone := range zoneNames {
		regions = append(regions, zone+"=region-1")
	}
	lines := []string{
		"name = " + m.name, "zone = " + m.zone, "listen = " + m.at("listen"), "ready = " + m.at("ready"),
		"peer = " + m.at("peer"), "metrics = " + m.at("metrics"), "seeds = " + strings.Join(seeds, ","),
		"store = " + f.store, fmt.Sprintf("grace = %ds", graceS), "retry-ratio = 0.2", "retry-min = 52", "retry-window = 10s",
		"share-window = 4s", "cold-overage = ", "cold-slack = ", "memory-mb = 284", "max-open-files = 4100", "link-mbps = 1000",
		"zone-regions = " + strings.Join(regions, ","),
	}
	m.settings = filepath.Join(f.dir, m.name+".ini")
	return os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the router process. Its log goes to a file in the fleet's folder.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.dir, "CHIVESEAM_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	m.mu.Lock()
	m.cmd, m.exited, m.stopped, m.began = cmd, make(chan struct{}), false, time.Now()
	exited := m.exited
	m.mu.Unlock()
	m.fleet.record.log("%s: process %d started", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		out.Close()
		m.mu.Lock()
		expected := m.stopped
		m.mu.Unlock()
		m.fleet.record.log("%s: process %d ended (%v, expected %v)", m.name, cmd.Process.Pid, err, expected)
		close(exited)
	}()
	return nil
}

// signal sends a signal that ends the process, and waits for its end.
func (m *machine) end(sig syscall.Signal) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.stopped = true
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	m.fleet.record.log("%s: %v", m.name, sig)
	cmd.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(graceS * time.Second):
		cmd.Process.Kill()
		<-exited
	}
}

// startedAt returns when the process was started.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.began
}

func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// watchReady asks for readiness once a second, as the platform does, until done is closed.
func (f *fleet) watchReady(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range f.machines {
			ok := false
			if m.running() {
				if resp, err := client.Get("http://" + m.at("ready") + "/api/ready"); err == nil {
					resp.Body.Close()
					ok = resp.StatusCode == http.StatusOK
				}
			}
			m.mu.Lock()
			was := m.ready
			if ok {
				m.misses, m.ready = 0, true
			} else if m.misses++; m.misses >= 2 {
				m.ready = false
			}
			now := m.ready
			m.mu.Unlock()
			if was != now {
				f.record.log("balancer: %s in rotation: %v", m.name, now)
			}
		}
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// inRotation returns the machines that get new channels.
func (f *fleet) inRotation() []*machine {
	var list []*machine
	for _, m := range f.machines {
		m.mu.Lock()
		if m.ready {
			list = append(list, m)
		}
		m.mu.Unlock()
	}
	return list
}

// awaitReady waits until n machines are in rotation.
func (f *fleet) awaitReady(n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(f.inRotation()) >= n {
			return nil
		}
	}
	return fmt.Errorf("only %d of %d machines are ready", len(f.inRotation()), n)
}

// close ends all processes that are still running.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, m := range f.machines {
		if m.running() {
			wg.Go(func() { m.end(syscall.SIGKILL) })
		}
	}
	wg.Wait()
}

// record is record.txt: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}
