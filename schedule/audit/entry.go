package audit

//go:generate go tool stringer -type=Action -linecomment

// Action is an administrative action.
type Action int

// The actions. The entry of a Drain is also the command to drain the host. No
// process writes entries of Submit and Cancel; their numbers are part of the
// journal format.
const (
	Drain  Action = iota // drain
	Submit               // submit
	Cancel               // cancel
)

// Entry is the body of an audit record.
type Entry struct {
	Action Action `json:"action" cbor:"1,keyasint"`
	Target string `json:"target" cbor:"2,keyasint"` // address of a host or id of a job
	Author string `json:"author" cbor:"3,keyasint"`
	UnixMs int64  `json:"unixMs" cbor:"4,keyasint"` // only shown to operators; no decision depends on it
}
