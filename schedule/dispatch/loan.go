package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// loanRetention is how long the token base of an executor without an entry is
	// kept. The executor may come back and remember its highest token.
	loanRetention = clock.Hour
)

// Loan describes the right of one shard to an executor. The home shard of an
// executor, to which the layout assigns it, may lend it to another shard, the
// borrower. Only the home shard stores this, so there is one record of who may
// use the executor.
type Loan struct {
	Executor  unit.Executor `cbor:"1,keyasint"`
	TokenBase unit.Token    `cbor:"2,keyasint,omitempty"` // added to the fencing tokens of the shard that uses the executor; above all tokens of the shard that used it before
	Lent      bool          `cbor:"3,keyasint,omitempty"` // false if the home shard may use the executor
	Borrower  unit.Shard    `cbor:"4,keyasint,omitempty"`

	// BorrowerEpoch is the highest epoch of the owners of the borrower that may know
	// of the loan. Requests of earlier owners, which may still return the executor,
	// are refused, also by a later owner of the home shard.
	BorrowerEpoch unit.Generation `cbor:"5,keyasint,omitempty"`
}

// homeLoan is a row of the table of executors of this shard that are lent or
// were lent before.
type homeLoan struct {
	Loan
	dirty       bool         // differs from the store
	storing     bool         // is in the append in flight
	absentSince clock.Millis // since when a returned executor has no row, 0 if it has one
}

// LoanRequest is sent by the owner of one shard to the owner of another, the
// lender. It returns executors and says what the borrower needs.
type LoanRequest struct {
	Lender        unit.Shard      `cbor:"1,keyasint"`
	Borrower      unit.Shard      `cbor:"2,keyasint"`
	BorrowerEpoch unit.Generation `cbor:"3,keyasint"`
	LenderEpoch   unit.Generation `cbor:"4,keyasint,omitempty"` // of the last reply, 0 if there was none
	Sequence      int64           `cbor:"5,keyasint"`           // rises within an epoch of the borrower
	Returns       []Loan          `cbor:"6,keyasint,omitempty"`
	Loads         []ServiceLoad   `cbor:"7,keyasint,omitempty"`
	Wants         []LoanWant      `cbor:"8,keyasint,omitempty"`
}

// LoanReply is the reply to a [LoanRequest]. It is sent after its changes are
// stored.
type LoanReply struct {
	Epoch unit.Generation `cbor:"1,keyasint"`
	Loans []Loan          `cbor:"2,keyasint,omitempty"` // all executors lent to the borrower
	Loads []ServiceLoad   `cbor:"3,keyasint,omitempty"` // of the lender
}

// uses reports whether this shard may use an executor. inShard reports whether it
// is the home shard.
func (s *Shard) uses(id unit.Executor, inShard func(unit.Executor) bool) bool {
	if s.borrowed.Get(id) != nil {
		return true
	}
	// A returned executor is used only once the return is stored. Otherwise, after a
	// takeover of both shards, the borrower would use it again, with fencing tokens
	// below those of this owner.
	if l := s.loans.Get(id); l != nil && (l.Lent || l.dirty || l.storing) {
		return false
	}
	return inShard(id)
}

// tokenBase returns what is added to the fencing tokens for an executor, so that
// they are above those of the shard that used it before.
func (s *Shard) tokenBase(id unit.Executor) unit.Token {
	if b := s.borrowed.Get(id); b != nil {
		return b.tokenBase
	}
	if l := s.loans.Get(id); l != nil {
		return l.TokenBase
	}
	return 0
}

// nextTokenBase returns a base that is above all tokens of this owner for an
// executor.
func (s *Shard) nextTokenBase(id unit.Executor) unit.Token {
	return s.tokenBase(id) + unit.Token(s.Epoch+1)*tokensPerEpoch
}

// RestoreLoan adds the record of an executor that is lent or was lent before. All
// loans must be restored before [Shard.StartOwnership].
func (s *Shard) RestoreLoan(l Loan) {
	s.loans.Put(l.Executor, homeLoan{Loan: l})
	if l.Lent && l.BorrowerEpoch > s.loanSessions[l.Borrower].epoch {
		s.setLoanSession(l.Borrower, loanSession{epoch: l.BorrowerEpoch})
	}
}

// Gained returns the executors that the shard may use since the last call. Their
// entries have to be passed to [Shard.ApplyRegistrations].
func (s *Shard) Gained() []unit.Executor {
	gained := s.gained
	s.gained = nil
	return gained
}

// Borrower returns the shard to which an executor of this shard is lent. It
// returns false if the executor is not lent.
func (s *Shard) Borrower(id unit.Executor) (unit.Shard, bool) {
	if l := s.loans.Get(id); l != nil && l.Lent {
		return l.Borrower, true
	}
	return 0, false
}

// collectLoans returns the changes of loans for the next append.
func (s *Shard) collectLoans() []Change {
	var changes []Change
	for _, id := range s.expiredLoans {
		changes = append(changes, Change{Loan: &Loan{Executor: id}, Drop: true})
	}
	s.expiredLoans = nil
	for _, l := range s.loans.All() {
		if l.dirty {
			l.dirty, l.storing = false, true
			changes = append(changes, Change{Loan: &l.Loan})
		}
	}
	return changes
}

// hasLoansToStore reports whether the store lacks changes of loans.
func (s *Shard) hasLoansToStore() bool {
	for _, l := range s.loans.All() {
		if l.dirty {
			return true
		}
	}
	return len(s.expiredLoans) > 0
}

// handleLoansStored records that the loans of the last append are in the store.
// Executors that were returned may now be used.
func (s *Shard) handleLoansStored() {
	for id, l := range s.loans.All() {
		if l.storing && !l.Lent && !l.dirty {
			s.gained = append(s.gained, id)
		}
		l.storing = false
	}
}

// expireLoans drops the records of executors that were returned and have had no
// entry for loanRetention.
func (s *Shard) expireLoans(now clock.Millis) {
	s.loans.DeleteFunc(func(id unit.Executor, l *homeLoan) bool {
		switch {
		case l.Lent || l.dirty || l.storing || s.executors.Get(id) != nil:
			l.absentSince = 0
		case l.absentSince == 0:
			l.absentSince = now
		case now >= l.absentSince.Add(loanRetention):
			s.expiredLoans = append(s.expiredLoans, id)
			return true
		}
		return false
	})
}
