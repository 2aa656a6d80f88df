package peer

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"

	"mimosadock/schedule/unit"
)

// codecName is the content subtype of the calls.
const codecName = "cbor"

// Bounds of one message.
const (
	maxMessageBytes unit.Bytes = 1 << 20
	maxElements                = 1 << 16
	maxNesting                 = 16
)

// codec encodes messages as CBOR with integer keys.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var _ encoding.Codec = codec{}

func init() { encoding.RegisterCodec(newCodec()) }

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

// Marshal returns the encoding of v.
func (c codec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal decodes data into v.
func (c codec) Unmarshal(data []byte, v any) error { return c.dec.Unmarshal(data, v) }

// Name returns the content subtype.
func (codec) Name() string { return codecName }
