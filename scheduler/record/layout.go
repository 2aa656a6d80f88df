package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/dispatch"
)

// EncodeLayout returns the record of a layout.
func EncodeLayout(l dispatch.Layout) ([]byte, error) {
	b, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("layout: %w", err)
	}
	return b, nil
}

// DecodeLayout returns the layout in a record. It returns an error if the
// record can't be decoded or names shards that can't be kept.
func DecodeLayout(b []byte) (dispatch.Layout, error) {
	var l dispatch.Layout
	if err := cbor.Unmarshal(b, &l); err != nil {
		return l, fmt.Errorf("layout: %w", err)
	}
	if !l.Valid() {
		return l, fmt.Errorf("layout has %d shards, 1 to %d are possible", l.Shards, dispatch.MaxShards)
	}
	return l, nil
}
