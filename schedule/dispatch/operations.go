package dispatch

import (
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
)

// Operations are the operator's requests since the last poll.
type Operations struct {
	Config      *Config // nil if there is no new version
	Waves       []maintenance.Wave
	Evacuated   []unit.DataCentre // all evacuated data centres, sorted, also those that were known before
	Undecodable int               // requests that can't be decoded
	Reason      string            // why the last of them can't be decoded
}
