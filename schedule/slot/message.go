package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// UpstreamSet names a set of upstreams that serve the same services.
type UpstreamSet string

// Version counts the changes that one owner has made to its grants.
type Version uint64

// PinID identifies a pinned grant of one holder. A holder numbers its pins from 1.
type PinID uint64

// Allocation is a number of slots of each part on one upstream.
type Allocation struct {
	Upstream unit.Upstream `json:"upstream" cbor:"1,keyasint"`
	Parts    Parts         `json:"parts" cbor:"2,keyasint"`
}

// UpstreamSetDemand is the number of slots of a set that a holder requests. It covers
// the requests in flight and in the queue, with headroom for growth.
type UpstreamSetDemand struct {
	Set   UpstreamSet `json:"set" cbor:"1,keyasint"`
	Slots unit.Slots  `json:"slots" cbor:"2,keyasint"`
}

// Excess is the number of requests in flight on an upstream beyond the held
// slots that cover them. If the quick and the slow slots end at different times,
// only those that end later cover requests, because a request may have been
// admitted under them alone. If both end at the same time, the slots of both
// cover requests.
type Excess struct {
	Upstream unit.Upstream `json:"upstream" cbor:"1,keyasint"`
	Slots    unit.Slots    `json:"slots" cbor:"2,keyasint"`
}

// HeldPin describes a pinned grant that a holder holds.
type HeldPin struct {
	ID        PinID         `json:"id" cbor:"1,keyasint"`
	Upstream  unit.Upstream `json:"upstream" cbor:"2,keyasint"`
	Remaining clock.Span    `json:"remaining" cbor:"3,keyasint"` // until the deadline of the request; in [Outstanding], until the owner would free the slot
}

// Demand is a report of a holder to the owner of a data centre. It replaces all
// demands with an earlier SentAt. An upstream that Excess does not list has no
// more requests in flight than the grants of version Applied allow.
type Demand struct {
	DataCentre  unit.DataCentre     `json:"dataCentre" cbor:"1,keyasint"`
	Epoch       unit.Epoch          `json:"epoch" cbor:"2,keyasint"`
	Holder      unit.Instance       `json:"holder" cbor:"-"`                               // the sender
	SentAt      clock.Millis        `json:"asked" cbor:"4,keyasint"`                       // time of sending, on the clock of the holder
	Applied     Version             `json:"applied" cbor:"5,keyasint,omitempty"`           // zero before the first grants of the epoch
	Leaving     bool                `json:"leaving,omitempty" cbor:"3,keyasint,omitempty"` // the holder needs no more slots
	DemandBySet []UpstreamSetDemand `json:"wants,omitempty" cbor:"6,keyasint,omitempty"`
	Excess      []Excess            `json:"excess,omitempty" cbor:"7,keyasint,omitempty"`
	LastPinID   PinID               `json:"pinSeq,omitempty" cbor:"8,keyasint,omitempty"`  // highest id that was requested
	OpenPins    []PinID             `json:"live,omitempty" cbor:"9,keyasint,omitempty"`    // requested or held
	HeldPins    []HeldPin           `json:"pinned,omitempty" cbor:"10,keyasint,omitempty"` // only listed while Applied is zero
}

// Grants is the owner's reply to a demand. It lists every allocation that
// changed after version Base, or all allocations if Full is set.
type Grants struct {
	DataCentre   unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch        unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	DemandSentAt clock.Millis    `json:"asked" cbor:"3,keyasint"` // SentAt of the demand
	Base         Version         `json:"base,omitempty" cbor:"4,keyasint,omitempty"`
	Version      Version         `json:"version" cbor:"5,keyasint"`
	Full         bool            `json:"full,omitempty" cbor:"6,keyasint,omitempty"`
	QuickFor     clock.Span      `json:"quickFor,omitempty" cbor:"7,keyasint,omitempty"` // counted from DemandSentAt
	SlowFor      clock.Span      `json:"slowFor,omitempty" cbor:"8,keyasint,omitempty"`  // counted from DemandSentAt
	Allocations  []Allocation    `json:"cells,omitempty" cbor:"9,keyasint,omitempty"`
}

// PinRequest requests a slow slot on any one upstream of a set for one request.
// The holder repeats it until the owner replies.
type PinRequest struct {
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Holder     unit.Instance   `json:"holder" cbor:"-"` // the sender
	ID         PinID           `json:"id" cbor:"4,keyasint"`
	Set        UpstreamSet     `json:"set" cbor:"5,keyasint"`
	Remaining  clock.Span      `json:"remaining" cbor:"6,keyasint"` // until the deadline of the request
}

// PinReply is the reply to a [PinRequest]. An empty upstream means that the pin
// was refused.
type PinReply struct {
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	ID         PinID           `json:"id" cbor:"3,keyasint"`
	Upstream   unit.Upstream   `json:"upstream,omitempty" cbor:"4,keyasint,omitempty"`
}

// Outstanding lists the grants of an owner whose tenure has ended that one
// holder may still use.
type Outstanding struct {
	Holder      unit.Instance `json:"holder" cbor:"1,keyasint"`
	Allocations []Allocation  `json:"cells,omitempty" cbor:"2,keyasint,omitempty"`
	HeldPins    []HeldPin     `json:"pinned,omitempty" cbor:"3,keyasint,omitempty"`
}
