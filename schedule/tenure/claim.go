package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Claim is the body of a claim record. An owner repeats its claim with a
// higher Cleared when every right of the epochs below it has ended, so that a
// later owner need not wait for them.
type Claim struct {
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Instance   unit.Instance   `json:"instance" cbor:"3,keyasint"`
	Cleared    unit.Epoch      `json:"cleared,omitempty" cbor:"4,keyasint,omitempty"`
}

// FormerOwner is an owner whose rights may outlast the claim that followed.
type FormerOwner struct {
	Instance     unit.Instance
	Epoch        unit.Epoch
	SupersededAt clock.Millis // when this process learned of the claim that followed
	Handed       bool         // it has told this process all that it granted
	MergedClaim  bool         // it lives and knows that its tenure is over
	EndedAt      clock.Millis // when it was known to grant nothing more; zero before
}

// Row is the tenure of one data centre as this process knows it.
type Row struct {
	Claim
	Version    member.Version // of this process when it learned of the claim
	RecordedAt clock.Millis   // when it did
	Confirmed  clock.Millis   // last confirmation; of an own tenure only
	Handed     bool           // the owner has handed it over to this process and grants nothing more
	ClearedAt  clock.Millis   // last time the owner recorded that the formers have ended
	Formers    []FormerOwner
}

// Table holds the tenures by data centre. The zero value is empty.
type Table struct {
	table.Table[unit.DataCentre, Row]
}

// Learn adds a winning claim and reports whether it changed the table. Claims
// must come in journal order or from a peer that read them so. The first claim
// of an epoch wins, and a higher epoch ends a lower one.
func (t *Table) Learn(c Claim, now clock.Millis, members *member.Table) bool {
	r := t.Ensure(c.DataCentre)
	r.DataCentre = c.DataCentre
	switch {
	case c.Epoch > r.Epoch:
		if r.Epoch > 0 {
			r.Formers = append(r.Formers, FormerOwner{Instance: r.Instance, Epoch: r.Epoch, SupersededAt: now, Handed: r.Handed})
		}
		r.Epoch, r.Instance, r.RecordedAt, r.Confirmed, r.Handed = c.Epoch, c.Instance, now, 0, false
	case c.Epoch < r.Epoch: // read after a peer told of a later claim
		r.addFormerOwner(c, now)
		return false
	case c.Instance != r.Instance || c.Cleared <= r.Cleared:
		return false
	}
	r.Version = members.NextVersion()
	r.setCleared(max(r.Cleared, c.Cleared))
	return true
}

// addFormerOwner adds the owner of a lower epoch unless its rights are known to have
// ended or the winner of that epoch is known.
func (r *Row) addFormerOwner(c Claim, now clock.Millis) {
	if c.Epoch < r.Cleared {
		return
	}
	for _, f := range r.Formers {
		if f.Epoch == c.Epoch {
			return
		}
	}
	r.Formers = append(r.Formers, FormerOwner{Instance: c.Instance, Epoch: c.Epoch, SupersededAt: now})
}

// setCleared drops the former owners below epoch.
func (r *Row) setCleared(epoch unit.Epoch) {
	r.Cleared = epoch
	kept := r.Formers[:0]
	for _, f := range r.Formers {
		if f.Epoch >= epoch {
			kept = append(kept, f)
		}
	}
	r.Formers = kept
}
