package control

import (
	"fmt"
	"strconv"
	"strings"

	"mimosadock/schedule/unit"
)

// MemberName returns the name of a process in the group of owners. It consists
// of the address that other processes call, a nonce that differs after each
// restart, and the CPU share of the process in thousandths of a core.
func MemberName(address, nonce string, cpuShare unit.MilliCPU) unit.Member {
	return unit.Member(fmt.Sprintf("%s/%s/%d", address, nonce, cpuShare))
}

// addressOf returns the address in the name of a member.
func addressOf(m unit.Member) string {
	address, _, _ := strings.Cut(string(m), "/")
	return address
}

// cpuShareOf returns the CPU share in the name of a member, or 0 if the name has
// no valid share.
func cpuShareOf(m unit.Member) unit.MilliCPU {
	n, err := strconv.Atoi(string(m[strings.LastIndexByte(string(m), '/')+1:]))
	if err != nil || n < 0 {
		return 0
	}
	return unit.MilliCPU(n)
}
