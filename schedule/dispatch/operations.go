package dispatch

import "mimosadock/schedule/maintenance"

// Operations are the operator's requests since the last poll.
type Operations struct {
	Config      *Config // nil if there is no new version
	Waves       []maintenance.Wave
	Undecodable int    // requests that can't be decoded
	Reason      string // why the last of them can't be decoded
}
