// Package crowd tests the programs scheduler and entry against clients that stay
// outside the limits of the protocol.
//
// Each test starts a program on loopback addresses, opens a crowd of connections
// to one of its listeners, and keeps them open. The crowds are small: the tests
// lower the memory of the host and the number of descriptors in the settings of
// the program instead. A test checks that the program lives, that its peak memory
// and its descriptors stay under these settings, and that an ordinary request is
// answered while the crowd is still connected. No check depends on the speed of
// the host.
//
// The tests run one at a time; see the target crowd of the Makefile.
package crowd
