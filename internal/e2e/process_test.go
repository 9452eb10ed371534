package e2e

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/internal/child"
)

const (
	// waitTimeout bounds the wait for any condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	// logTailBytes is the part of a log that a failed test shows.
	logTailBytes = 4 << 10
)

// await waits until condition holds. It fails the test with what seen returns.
func await(t *testing.T, what string, condition func() bool, observed func() any) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached; seen: %v", what, observed())
		}
		time.Sleep(pollInterval)
	}
}

// process is a running program that the test started.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
	// exitCode is valid once exited is closed; -1 stands for a signal.
	exitCode int
}

// startProcess runs a program until the end of the test.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	logFile, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	p := &process{name: name, logPath: logFile.Name(), exited: make(chan struct{})}
	p.cmd = exec.Command(programPath(program), args...)
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	p.cmd.SysProcAttr = child.EndWithParent()
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.wait()
	t.Cleanup(func() { p.cleanUp(t) })
	return p
}

func (p *process) wait() {
	_ = p.cmd.Wait()
	p.exitCode = p.cmd.ProcessState.ExitCode()
	close(p.exited)
}

func (p *process) cleanUp(t *testing.T) {
	p.kill()
	if t.Failed() {
		t.Logf("end of the log of %s:\n%s", p.name, p.logTail())
	}
}

// signal sends a signal. A process that has ended gets none.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("signal %v to %s: %v", sig, p.name, err)
	}
}

// kill ends the process without warning and waits for its end.
func (p *process) kill() {
	// It fails only for a process that has ended.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitExit returns the exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	await(t, p.name+" exits", func() bool { return !p.running() }, func() any { return string(p.logTail()) })
	return p.exitCode
}

func (p *process) log() []byte {
	data, err := os.ReadFile(filepath.Clean(p.logPath))
	if err != nil {
		return []byte(err.Error())
	}
	return data
}

func (p *process) logTail() []byte {
	data := p.log()
	if len(data) <= logTailBytes {
		return data
	}
	data = data[len(data)-logTailBytes:]
	_, rest, _ := bytes.Cut(data, []byte("\n"))
	return rest
}
