package peer

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"

	"mimosadock/schedule/unit"
)

// codecName is the gRPC content subtype of the calls.
const codecName = "cbor"

// Limits of one message.
const (
	maxMessageBytes unit.Bytes = 1 << 20
	maxElements                = 1 << 16
	maxNesting                 = 16
)

// codec encodes messages as CBOR. The message types use integer keys.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var _ encoding.Codec = codec{}

func init() { encoding.RegisterCodec(newCodec()) }

// newCodec returns a codec that rejects messages beyond the limits, duplicate
// keys, indefinite lengths and tags.
func newCodec() codec {
	enc, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic("peer: bad encoding options")
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic("peer: bad decoding options")
	}
	return codec{enc, dec}
}

// Marshal returns the CBOR encoding of v.
func (c codec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal decodes CBOR data into v.
func (c codec) Unmarshal(data []byte, v any) error { return c.dec.Unmarshal(data, v) }

// Name returns the content subtype.
func (codec) Name() string { return codecName }
