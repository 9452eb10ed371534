package e2e

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const bytesPerKiB = 1024

// peakMemory returns the peak resident set size of the process in bytes. It skips
// the test on systems without /proc.
func (p *process) peakMemory(t *testing.T) uint64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Skipf("the system does not report the memory of processes: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		var kib uint64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			return kib * bytesPerKiB
		}
	}
	t.Fatal("/proc/PID/status has no peak resident set size (VmHWM)")
	return 0
}
