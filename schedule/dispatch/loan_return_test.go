package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// TestReturnedExecutorIsUsedOnceStored guards against a home shard that orders a
// returned executor before the return is stored. If both owners were replaced
// then, the borrower would use the executor again, with lower fencing tokens.
func TestReturnedExecutorIsUsedOnceStored(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.shard.Shards = 2
	const borrower unit.Shard = 1
	request := LoanRequest{
		Borrower: borrower, BorrowerEpoch: 1, LenderEpoch: f.shard.Epoch, Sequence: 1,
		Loads: []ServiceLoad{{Service: "s", Demand: 1000}},
	}
	reply, ok := f.shard.HandleLoanRequest(f.now, &request)
	is.True(ok)
	is.True(len(reply.Loans) > 0)
	lent := reply.Loans[0]
	f.runFor(100)
	request.Sequence, request.Loads = 2, nil
	request.Returns = []Loan{{Executor: lent.Executor, TokenBase: lent.TokenBase + 5*tokensPerEpoch}}
	_, ok = f.shard.HandleLoanRequest(f.now, &request)
	is.True(ok)
	is.Equal(len(f.shard.Gained()), 0)
	is.True(!f.shard.uses(lent.Executor, anyExecutor))
	changes, _ := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
	is.Equal(len(changes), 1) // the return
	is.True(!f.shard.uses(lent.Executor, anyExecutor))
	f.shard.HandleStored(f.now)
	is.Equal(f.shard.Gained(), []unit.Executor{lent.Executor})
	is.True(f.shard.uses(lent.Executor, anyExecutor))
}
