//go:build !linux

package child

import "syscall"

// EndWithParent does nothing where the kernel offers no such link.
func EndWithParent() *syscall.SysProcAttr { return nil }
