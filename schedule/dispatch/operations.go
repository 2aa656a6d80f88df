package dispatch

import "mimosadock/schedule/maintenance"

// Operations are what the operator has asked for since the last look.
type Operations struct {
	Config  *Config // nil if there is no new one
	Waves   []maintenance.Wave
	Foreign int // requests that can't be decoded
}
