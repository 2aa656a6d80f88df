package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/dispatch"
)

// EncodeLayout returns the value of the record of a layout.
func EncodeLayout(l dispatch.Layout) ([]byte, error) {
	b, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("layout: %w", err)
	}
	return b, nil
}

// DecodeLayout decodes the record of a layout. It returns an error if the record
// can't be decoded or has an invalid number of shards.
func DecodeLayout(b []byte) (dispatch.Layout, error) {
	var l dispatch.Layout
	if err := cbor.Unmarshal(b, &l); err != nil {
		return l, fmt.Errorf("layout: %w", err)
	}
	if !l.Valid() {
		return l, fmt.Errorf("layout has %d shards, must have 1 to %d", l.Shards, dispatch.MaxShards)
	}
	return l, nil
}
