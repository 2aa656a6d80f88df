package control

import (
	"fmt"
	"strconv"
	"strings"

	"mimosadock/schedule/unit"
)

// MemberName returns the name of a process among the owners: the address that
// other processes call, a nonce for each start, and its processor share in
// thousandths of a core.
func MemberName(address, nonce string, ability unit.MilliCPU) unit.Member {
	return unit.Member(fmt.Sprintf("%s/%s/%d", address, nonce, ability))
}

// addressOf returns the address in the name of a member.
func addressOf(m unit.Member) string {
	address, _, _ := strings.Cut(string(m), "/")
	return address
}

// abilityOf returns the processor share in the name of a member, or 0 if it
// names none.
func abilityOf(m unit.Member) unit.MilliCPU {
	n, err := strconv.Atoi(string(m[strings.LastIndexByte(string(m), '/')+1:]))
	if err != nil || n < 0 {
		return 0
	}
	return unit.MilliCPU(n)
}
