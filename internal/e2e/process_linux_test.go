package e2e

import "syscall"

// endWithParent lets the kernel end a process with the test, also when the
// test is killed.
func endWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
