package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Set names a set of upstreams that serve the same services.
type Set string

// Version numbers the changes of the grants of one owner.
type Version uint64

// PinID numbers the pinned grants that one holder has asked for, from 1.
type PinID uint64

// Cell is a number of slots of one upstream.
type Cell struct {
	Upstream unit.Upstream `json:"upstream" cbor:"1,keyasint"`
	Parts    Parts         `json:"parts" cbor:"2,keyasint"`
}

// Want is how many requests of a set a holder has in flight and queued.
type Want struct {
	Set   Set        `json:"set" cbor:"1,keyasint"`
	Slots unit.Slots `json:"slots" cbor:"2,keyasint"`
}

// Excess is by how much the requests in flight on an upstream exceed the slots
// that are held until the later end of both parts.
type Excess struct {
	Upstream unit.Upstream `json:"upstream" cbor:"1,keyasint"`
	Slots    unit.Slots    `json:"slots" cbor:"2,keyasint"`
}

// HeldPin describes a pinned grant that a holder has.
type HeldPin struct {
	ID        PinID         `json:"id" cbor:"1,keyasint"`
	Upstream  unit.Upstream `json:"upstream" cbor:"2,keyasint"`
	Remaining clock.Span    `json:"remaining" cbor:"3,keyasint"` // to the end of the request
}

// Demand is what a holder tells the owner of a data centre. A demand replaces
// all demands with an earlier Asked. Upstreams that are not listed in Excess
// have at most as many requests in flight as the grants of Applied allow.
type Demand struct {
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Holder     unit.Instance   `json:"holder" cbor:"-"`                               // the sender
	Asked      clock.Millis    `json:"asked" cbor:"4,keyasint"`                       // on the clock of the holder
	Applied    Version         `json:"applied" cbor:"5,keyasint,omitempty"`           // zero before the first grants of the epoch
	Leaving    bool            `json:"leaving,omitempty" cbor:"3,keyasint,omitempty"` // the holder needs no slots any more
	Wants      []Want          `json:"wants,omitempty" cbor:"6,keyasint,omitempty"`
	Excess     []Excess        `json:"excess,omitempty" cbor:"7,keyasint,omitempty"`
	LastPinID  PinID           `json:"pinSeq,omitempty" cbor:"8,keyasint,omitempty"`  // last id asked for
	OpenPins   []PinID         `json:"live,omitempty" cbor:"9,keyasint,omitempty"`    // asked for or held
	HeldPins   []HeldPin       `json:"pinned,omitempty" cbor:"10,keyasint,omitempty"` // while Applied is zero
}

// Grants is the owner's answer to a demand. It holds every cell that changed
// after Base, or all cells if Full.
type Grants struct {
	DataCentre   unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch        unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	DemandSentAt clock.Millis    `json:"asked" cbor:"3,keyasint"` // of the demand
	Base         Version         `json:"base,omitempty" cbor:"4,keyasint,omitempty"`
	Version      Version         `json:"version" cbor:"5,keyasint"`
	Full         bool            `json:"full,omitempty" cbor:"6,keyasint,omitempty"`
	QuickFor     clock.Span      `json:"quickFor,omitempty" cbor:"7,keyasint,omitempty"` // from Asked
	SlowFor      clock.Span      `json:"slowFor,omitempty" cbor:"8,keyasint,omitempty"`  // from Asked
	Cells        []Cell          `json:"cells,omitempty" cbor:"9,keyasint,omitempty"`
}

// Pin asks for a slow slot of one upstream of a set for one request. It is
// repeated until it is answered.
type Pin struct {
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Holder     unit.Instance   `json:"holder" cbor:"-"` // the sender
	ID         PinID           `json:"id" cbor:"4,keyasint"`
	Set        Set             `json:"set" cbor:"5,keyasint"`
	Remaining  clock.Span      `json:"remaining" cbor:"6,keyasint"` // to the deadline of the request
}

// Pinned answers a pin. An empty upstream is a refusal.
type Pinned struct {
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	ID         PinID           `json:"id" cbor:"3,keyasint"`
	Upstream   unit.Upstream   `json:"upstream,omitempty" cbor:"4,keyasint,omitempty"`
}

// Outstanding is what one holder may still use of an owner that has ended its
// tenure.
type Outstanding struct {
	Holder   unit.Instance `json:"holder" cbor:"1,keyasint"`
	Cells    []Cell        `json:"cells,omitempty" cbor:"2,keyasint,omitempty"`
	HeldPins []HeldPin     `json:"pinned,omitempty" cbor:"3,keyasint,omitempty"`
}
