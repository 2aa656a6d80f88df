package peer

import (
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
)

// Guards against bytes from the network that make the process panic, and
// against decoded messages that can't be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	c := newCodec()
	for _, body := range []any{
		&tenure.Heartbeat{Sent: 1, Claims: []tenure.Claim{{DataCentre: "kelso", Epoch: 1}}},
		&slot.Demand{DataCentre: "kelso", DemandBySet: []slot.UpstreamSetDemand{{Set: "weighbook", Slots: 3}}},
		&slot.Grants{Allocations: []slot.Allocation{{Upstream: "10.0.0.1:80"}}},
	} {
		data, err := c.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for i := range methods {
			body, err := methods[i].decode(func(v any) error { return c.Unmarshal(data, v) })
			if err != nil {
				continue
			}
			again, err := c.Marshal(body)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := methods[i].decode(func(v any) error { return c.Unmarshal(again, v) }); err != nil {
				t.Fatalf("%s: %v", methods[i].name, err)
			}
			applyMessage(body)
		}
	})
}

// applyMessage passes a message to the table that receives it.
func applyMessage(body any) {
	n := tenure.Node{Limits: tenure.DefaultLimits()}
	g := slot.Granter{Limits: tenure.DefaultLimits()}
	g.BeginEpoch("kelso", 0)
	g.SetUpstream("10.0.0.1:80", "weighbook", 8)
	always := tenure.Right{QuickUntil: clock.Never, SlowUntil: clock.Never}
	h := slot.Holder{Self: "h"}
	h.Track("10.0.0.1:80", "kelso", "weighbook", new(slot.Counter), new(slot.Counter))
	h.SetOwner("kelso", 1, "owner")
	switch b := body.(type) {
	case *tenure.Heartbeat:
		n.Receive("peer", b, 1)
	case *slot.Demand:
		g.RecordDemand(b, 1)
		g.Tick(1, always)
		g.GrantsFor(b.Holder, 1, always)
	case *slot.Grants:
		h.Apply(b)
	case *slot.PinRequest:
		g.DecidePin(b, 1, always)
	case *slot.PinReply:
		h.ApplyPinReply(b)
	}
}
