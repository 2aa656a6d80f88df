package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ownsSocket reports whether a process has the socket of a TCP connection with the
// given addresses, as the process sees them. It reads Linux's tables in /proc.
func ownsSocket(pid int, local, remote net.Addr) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	ends := procAddress(local) + " " + procAddress(remote)
	var socket string
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1]+" "+fields[2] == ends {
			socket = "socket:[" + fields[9] + "]" // the inode
		}
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || socket == "" {
		return false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && target == socket {
			return true
		}
	}
	return false
}

// procAddress returns an address as /proc/net/tcp shows it.
func procAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(t.IP.To4()), t.Port)
}
