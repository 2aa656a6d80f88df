package control

import (
	"mimosadock/schedule/clock"
)

// claim is what a reply of the owner of a shard states.
type claim int

// The claims. [claimStored] holds once an append has stored the changes of the
// request, for which the reply waits. [claimFinal] is a stored state that never
// changes. [claimCurrent] is a stored state that a successor may have changed, and
// [claimChanging] one whose change this process has yet to store.
// [claimAbsence] is that there is no such job or executor, or no run that keeps an
// executor from being shut down: a successor may have accepted or placed one.
// [claimEstimate] may be out of date when it is used, such as a count.
const (
	claimStored   claim = iota // stored
	claimFinal                 // final
	claimCurrent               // current
	claimChanging              // changing
	claimAbsence               // absence
	claimEstimate              // estimate

	claimCount int = iota
)

// ownership is what a process knows about its ownership of a shard. The store can
// assign the shard to another member at once, and does so after the TTL without a
// join.
type ownership int

// The degrees of knowledge. [ownershipUnconfirmed] means that no join has succeeded
// for a TTL, so that a successor is likely. [ownershipDoubtful] means that the
// membership is confirmed, but that there is a sign of another owner: the joins are
// late, the append in flight is, or the generation of the group has changed and no
// append since has proved the ownership. [ownershipConfirmed] means that there is no such sign.
const (
	ownershipUnconfirmed ownership = iota // unconfirmed
	ownershipDoubtful                     // doubtful
	ownershipConfirmed                    // confirmed

	ownershipCount int = iota
)

// answerAction is what a process does with a reply.
type answerAction int

// The actions. [answerProved] sends the reply once an append that started after the
// request has shown that there was no other owner.
const (
	answerRefused answerAction = iota // refused
	answerProved                      // proved
	answerGiven                       // given
)

// answerActions is the rule for what a process that may have been replaced as the
// owner of a shard may answer. A proof costs a call to the store, which is why the
// frequent reads of states that are in doubt only need one. See
// docs/design/ownership.md.
var answerActions = [claimCount][ownershipCount]answerAction{
	claimStored:   {ownershipDoubtful: answerGiven, ownershipConfirmed: answerGiven},
	claimFinal:    {ownershipUnconfirmed: answerGiven, ownershipDoubtful: answerGiven, ownershipConfirmed: answerGiven},
	claimCurrent:  {ownershipDoubtful: answerProved, ownershipConfirmed: answerGiven},
	claimChanging: {ownershipDoubtful: answerProved, ownershipConfirmed: answerProved},
	claimAbsence:  {ownershipDoubtful: answerProved, ownershipConfirmed: answerProved},
	claimEstimate: {ownershipDoubtful: answerGiven, ownershipConfirmed: answerGiven},
}

// action returns what to do with a reply that makes the claim.
func (c claim) action(o ownership) answerAction { return answerActions[c][o] }

// claimOf returns the claim of the reply to a request before the request is applied.
// The reply to a [KindState] request depends on the state.
func claimOf(kind Kind) claim {
	switch kind {
	case KindProbe, KindPending:
		return claimEstimate
	}
	return claimStored
}

// maxJoinsLate is the number of intervals between joins after which a membership that
// no further join has confirmed is in doubt.
const maxJoinsLate = 2

// ownershipOf returns what is known about the ownership of a shard.
func (c *Control) ownershipOf(owned *ownedShard) ownership {
	now, ttl := c.BootClock(), c.Settings.TTL
	switch {
	case !c.membership.isConfirmed(now, ttl):
		return ownershipUnconfirmed
	case !c.membership.isConfirmed(now, maxJoinsLate*ttl/joinsPerTTL), owned.appendIsLate(c.Clock.Now(), ttl/joinsPerTTL),
		owned.unproven, owned.proving, owned.unprovenAt > 0:
		return ownershipDoubtful
	}
	return ownershipConfirmed
}

// appendIsLate reports whether the append in flight has had no answer for longer than
// limit. The store may have fenced it.
func (owned *ownedShard) appendIsLate(now clock.Millis, limit clock.Span) bool {
	return owned.appending && now.Sub(owned.lastAppendAt) > limit
}

// conclude sends, defers or refuses the reply to a request by the rule for its claim.
func (c *Control) conclude(owned *ownedShard, m requestMessage, statement claim, r Reply) {
	known := c.ownershipOf(owned)
	switch statement.action(known) {
	case answerGiven:
		m.replyTo <- r
	case answerProved:
		owned.replyIfOwner(c.Clock.Now(), m, r)
	default:
		c.Counters.RefusedAnswers.Add(1)
		c.EventLog.LogDecision("answer refused", "request", m.request.Kind, "shard", owned.shard.ID, "epoch", owned.epoch,
			"job", m.request.Job, "claim", statement, "ownership", known)
		m.replyTo <- Reply{Status: StatusNotOwner, Reason: "membership is not confirmed"}
	}
}
