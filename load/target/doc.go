// Package target checks that load goes to this host only.
package target
