// Package target holds the addresses that receive load. It accepts only addresses
// of this host and polls which of them are ready.
package target
