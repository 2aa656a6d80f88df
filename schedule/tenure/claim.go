package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Claim is the body of a claim record in the journal. An owner repeats its
// claim with a higher ClearedBelow when the rights of all epochs below it have
// ended. A later owner then does not wait for them.
type Claim struct {
	DataCentre   unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch        unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Instance     unit.Instance   `json:"instance" cbor:"3,keyasint"`
	ClearedBelow unit.Epoch      `json:"cleared,omitempty" cbor:"4,keyasint,omitempty"`
}

// FormerOwner is an owner whose rights may outlast the claim that followed.
type FormerOwner struct {
	Instance     unit.Instance
	Epoch        unit.Epoch
	SupersededAt clock.Millis // when this process received the claim that followed
	HandedOver   bool         // it has handed all its grants over to this process
	MergedClaim  bool         // it is running and has merged the claim that followed
	EndedAt      clock.Millis // instant after which it grants nothing more; zero if unknown
}

// Row is the tenure of one data centre according to the claims that this process
// has received. The instants are on the clock of this process.
type Row struct {
	Claim
	Version         member.Version // of the member table when the row last changed
	RecordedAt      clock.Millis   // when the claim was received
	ConfirmedAt     clock.Millis   // last confirmation; only set if this process is the owner
	HandedOver      bool           // the owner has handed the tenure over to this process and grants nothing more
	ClearAppendedAt clock.Millis   // when this owner last appended a claim that raises ClearedBelow
	FormerOwners    []FormerOwner
}

// Table holds the tenures by data centre. The zero value is empty.
type Table struct {
	table.Table[unit.DataCentre, Row]
}

// Add applies a claim and reports whether it changed the tenure. Claims must
// arrive in journal order or from a peer that has read them in that order. The
// first claim of an epoch wins. A higher epoch supersedes a lower one. A claim
// of a lower epoch only adds its owner to the former owners. A repeated claim
// of the owner can raise ClearedBelow, which removes former owners.
func (t *Table) Add(c Claim, now clock.Millis, members *member.Table) bool {
	r := t.Ensure(c.DataCentre)
	r.DataCentre = c.DataCentre
	switch {
	case c.Epoch > r.Epoch:
		if r.Epoch > 0 {
			r.FormerOwners = append(r.FormerOwners, FormerOwner{Instance: r.Instance, Epoch: r.Epoch, SupersededAt: now, HandedOver: r.HandedOver})
		}
		r.Epoch, r.Instance, r.RecordedAt, r.ConfirmedAt, r.HandedOver = c.Epoch, c.Instance, now, 0, false
	case c.Epoch < r.Epoch: // a peer has already sent a later claim
		r.addFormerOwner(c, now)
		return false
	case c.Instance != r.Instance || c.ClearedBelow <= r.ClearedBelow:
		return false
	}
	r.Version = members.NextVersion()
	r.clear(max(r.ClearedBelow, c.ClearedBelow))
	return true
}

// addFormerOwner adds the owner of a lower epoch. It does nothing if the rights
// of that epoch are cleared or the winner of that epoch is already recorded.
func (r *Row) addFormerOwner(c Claim, now clock.Millis) {
	if c.Epoch < r.ClearedBelow {
		return
	}
	for _, f := range r.FormerOwners {
		if f.Epoch == c.Epoch {
			return
		}
	}
	r.FormerOwners = append(r.FormerOwners, FormerOwner{Instance: c.Instance, Epoch: c.Epoch, SupersededAt: now})
}

// clear sets ClearedBelow to epoch and removes the former owners of lower
// epochs.
func (r *Row) clear(epoch unit.Epoch) {
	r.ClearedBelow = epoch
	kept := r.FormerOwners[:0]
	for _, f := range r.FormerOwners {
		if f.Epoch >= epoch {
			kept = append(kept, f)
		}
	}
	r.FormerOwners = kept
}
