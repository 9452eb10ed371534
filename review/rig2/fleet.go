package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is the routers of a small deployment: separate processes of the program of the deploy file, each on a loopback address of
// its own with the same ports.
type fleet struct {
	dir     string
	store   string
	ports   [4]int // listen, ready, peer, metrics
	routers []*router
	// retryRatio and retryMin are bounds of the deployment.
	retryRatio float64
	retryMin   int
}

type router struct {
	fleet *fleet
	name  string
	ip    string
	zone  string
	// seedsFrom is the number of the first router among the seeds.
	seedsFrom int

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// startedAt is when the last process was started, inRotation whether the balancer sends it new connections.
	startedAt  time.Time
	misses     int
	inRotation bool
}

// contact is contact_ms of broadsheet-bkk.
const contact = 3 * time.Second

// zones are those of broadsheet-bkk.
var zones = []string{"th-central-a", "th-central-b", "th-central-c", "th-central-d"}

// startFleet starts n routers and waits until all are ready.
func startFleet(store string, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: store, retryRatio: 0.2, retryMin: 52}
	subnet := 50 + os.Getpid()%150
	for i := range n {
		f.routers = append(f.routers, &router{fleet: f, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.0.%d.%d", subnet, i+1), zone: zones[i%len(zones)]})
	}
	for i := range f.ports {
		if f.ports[i], err = f.freePort(); err != nil {
			return nil, err
		}
	}
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return f, err
		}
	}
	go f.checkReadiness()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(f.rotation()) == n {
			return f, nil
		}
	}
	return f, errors.New("routers do not become ready")
}

// freePort returns a port that is free for TCP and UDP at the addresses of all routers, and not chosen yet.
func (f *fleet) freePort() (int, error) {
next:
	for range 100 {
		l, err := net.Listen("tcp4", f.routers[0].ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if slices.Contains(f.ports[:], port) {
			continue
		}
		for _, r := range f.routers {
			address := net.JoinHostPort(r.ip, strconv.Itoa(port))
			l, err := net.Listen("tcp4", address)
			if err != nil {
				continue next
			}
			l.Close()
			u, err := net.ListenPacket("udp4", address)
			if err != nil {
				continue next
			}
			u.Close()
		}
		return port, nil
	}
	return 0, errors.New("no free port")
}

func (r *router) at(port int) string {
	return net.JoinHostPort(r.ip, strconv.Itoa(r.fleet.ports[port]))
}

func (r *router) listen() string { return r.at(0) }

var section = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)

// settings fills in the deployment's template.
func (r *router) settings() (string, error) {
	template, err := os.ReadFile("deploy/edge.ini.template")
	if err != nil {
		return "", err
	}
	var seeds, regions []string
	for i := range min(3, len(r.fleet.routers)) {
		seeds = append(seeds, r.fleet.routers[(r.seedsFrom+i)%len(r.fleet.routers)].ip+":8785")
	}
	for _, zone := range zones {
		regions = append(regions, zone+"=th-central")
	}
	text := section.ReplaceAllString(string(template), strings.Join(regions, ","))
	// The ports of a platform's machine are fixed; here the free ones take their place.
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_ports.0}}", r.at(2))
	text = strings.ReplaceAll(text, "{{ip}}:9464", r.at(3))
	values := map[string]string{
		"node_name": r.name, "zone": r.zone, "listen.front": r.at(0), "listen.ready": r.at(1), "ip": r.ip, "seeds": strings.Join(seeds, ","),
		"platform_config.address": r.fleet.store, "heartbeat_ms": "1200", "bounds.grace_s": "8",
		"bounds.retry_budget_ratio": strconv.FormatFloat(r.fleet.retryRatio, 'f', -1, 64), "bounds.budget_min_retries": strconv.Itoa(r.fleet.retryMin), "bounds.budget_window_s": "10",
		"bounds.quota_window_s": "4", "bounds.cold_overage": "", "bounds.cold_slack": "", "limits.memory_mb": "284", "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has fields that are not known here:\n%s", text)
	}
	return text, nil
}

func (r *router) settingsPath() string { return filepath.Join(r.fleet.dir, r.name+".ini") }

// writeSettings puts the settings file in place.
func (r *router) writeSettings() error {
	text, err := r.settings()
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.settingsPath()+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(r.settingsPath()+".new", r.settingsPath())
}

// changeSettings writes the settings with another order of the seeds.
func (r *router) changeSettings(round int) error {
	r.seedsFrom = round % 3
	return r.writeSettings()
}

// start starts a process of the router.
func (r *router) start() error {
	if err := r.writeSettings(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(r.fleet.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/chiveseam-edge")
	cmd.Env = append(os.Environ(), "CHIVESEAM_NODE_FILE="+r.settingsPath())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited, r.startedAt = cmd, exited, time.Now()
	go func() {
		cmd.Wait()
		logFile.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when it has ended.
func (r *router) signal(s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd.Process.Signal(s)
	return r.exited
}

// restart sends a signal that ends the process, with SIGKILL after the grace time, and starts the next one after a short delay.
func (r *router) restart(s syscall.Signal) error {
	exited := r.signal(s)
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		r.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(300 * time.Millisecond)
	return r.start()
}

// checkReadiness does what the platform's balancer does: it asks each router once per second and takes it out after two misses.
func (f *fleet) checkReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, r := range f.routers {
			go func() {
				resp, err := client.Get("http://" + r.at(1) + "/api/ready")
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					r.misses, r.inRotation = 0, true
					return
				}
				if r.misses++; r.misses >= 2 {
					r.inRotation = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// rotation returns the routers that get new connections.
func (f *fleet) rotation() []*router {
	var list []*router
	for _, r := range f.routers {
		r.mu.Lock()
		if r.inRotation {
			list = append(list, r)
		}
		r.mu.Unlock()
	}
	if len(list) == 0 {
		return f.routers
	}
	return list
}

// stop ends all processes.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	for _, r := range f.routers {
		if r.cmd != nil {
			<-r.signal(syscall.SIGKILL)
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
