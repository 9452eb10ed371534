//go:build !linux

package e2e

import "syscall"

func endWithParent() *syscall.SysProcAttr { return nil }
