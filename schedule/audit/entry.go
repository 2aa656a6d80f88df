package audit

//go:generate go tool stringer -type=Action -linecomment

// Action is what was done.
type Action int

// The actions that are recorded apart from the records of what they change.
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
	UnixMs int64  `json:"unixMs" cbor:"4,keyasint"` // for people; nothing is decided by it
}
