package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is the router processes of a small deployment: six machines in four zones, as on the sheet of asb-booking.
type fleet struct {
	// root is the root of the repository.
	root, dir, program string
	store              string
	machines           []*machine
	record             *recorder
}

type machine struct {
	name, zone, ip string
	settings       string
	process        *exec.Cmd
	log            *os.File
	done           chan struct{}

	mu sync.Mutex
	// reloads counts the changes of its settings file, and hangups holds when it got SIGHUP.
	reloads int
	hangups []time.Time
}

const (
	frontPort, readyPort, peerPort, metricsPort, controlPort, storePort = 8783, 8780, 7400, 9464, 8785, 8781
)

var zones = []string{"rabat-a", "rabat-a", "rabat-b", "rabat-b", "tanger-a", "fes-a"}

// network is the start of the loopback addresses of this run: 127.A.B. Another run draws another one.
func network() string {
	for {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp4", prefix+"1:8781")
		if err == nil {
			l.Close()
			return prefix
		}
	}
}

func newFleet(root, dir, prefix, store string, rec *recorder) *fleet {
	f := &fleet{root: root, dir: dir, program: filepath.Join(root, "target/chiveseam-edge"), store: store, record: rec}
	count := map[string]int{}
	for i, zone := range zones {
		count[zone]++
		f.machines = append(f.machines, &machine{
			name: fmt.Sprintf("front-%s-%d", zone, count[zone]), zone: zone, ip: fmt.Sprintf("%s%d", prefix, 10+i),
		})
	}
	return f
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// writeSettings writes what the platform fills into deploy/edge.ini.template.
func (f *fleet) writeSettings(m *machine) error {
	var seeds []string
	for _, other := range []int{0, 2, 4} {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.machines[other].ip, controlPort))
	}
	if m.reloads%2 == 1 {
		slices.Reverse(seeds)
	}
	lines := []string{
		"name = " + m.name, "zone = " + m.zone, "listen = " + m.front(), fmt.Sprintf("ready = %s:%d", m.ip, readyPort),
		fmt.Sprintf("peer = %s:%d", m.ip, peerPort), fmt.Sprintf("metrics = %s:%d", m.ip, metricsPort),
		"seeds = " + strings.Join(seeds, ","), "store = " + f.store, "heartbeat = 1200ms", "grace = 8s", "retry-ratio = 0.2",
		"retry-min = 52", "retry-window = 10s", "share-window = 4s", "cold-overage = ", "cold-slack = ", "memory-mb = 284",
		"max-open-files = 4100", "link-mbps = 1000.0",
		"zone-regions = rabat-a=maroc-nord,rabat-b=maroc-nord,tanger-a=maroc-nord,fes-a=maroc-nord",
	}
	m.settings = filepath.Join(f.dir, m.name+".ini")
	return os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

func (f *fleet) start(m *machine) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	var err error
	if m.log, err = os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	m.process = exec.Command(f.program)
	m.process.Dir = f.root
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "CHIVESEAM_NODE_FILE=" + m.settings}
	m.process.Stdout, m.process.Stderr = m.log, m.log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}, log *os.File) {
		p.Wait()
		log.Close()
		close(done)
	}(m.process, m.done, m.log)
	f.record.note("%s started, process %d", m.name, m.process.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine, and waits for its end if wait is set.
func (f *fleet) signal(m *machine, sig syscall.Signal, wait bool) {
	f.record.note("%s gets %v", m.name, sig)
	m.process.Process.Signal(sig)
	if wait {
		<-m.done
	}
}

// reload changes the order of the seeds in the settings file of a machine and sends SIGHUP: planned work that concerns no request.
func (f *fleet) reload(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reloads++
	if err := f.writeSettings(m); err != nil {
		return err
	}
	m.hangups = append(m.hangups, time.Now())
	f.signal(m, syscall.SIGHUP, false)
	return nil
}

// reloadAll reloads one machine after the other, 0.5 s apart, until stop is closed.
func (f *fleet) reloadAll(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		if err := f.reload(f.machines[n%len(f.machines)]); err != nil {
			f.record.note("reload: %v", err)
		}
	}
}

// aroundReload reports whether a request was sent to a machine up to config_apply_ms after a SIGHUP of it.
func (m *machine) aroundReload(sent time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.hangups, func(at time.Time) bool { return !sent.Before(at) && sent.Before(at.Add(configApply)) })
}

// configApply is config_apply_ms.
const configApply = 2 * time.Second

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready. It returns false after limit.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range f.machines {
			if m.ready() {
				n++
			}
		}
		if n == len(f.machines) {
			return true
		}
	}
	return false
}

func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.process != nil {
			m.process.Process.Kill()
			<-m.done
		}
	}
}
