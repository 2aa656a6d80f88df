package intake

//go:generate go tool stringer -type=Phase -linecomment

// Phase is what a connection waits for.
type Phase int

// The phases of a connection.
const (
	PhaseIdle    Phase = iota // idle
	PhaseHeader               // header
	PhaseBody                 // body
	PhaseServing              // serving
	PhaseClosing              // closing
)

// receiving reports whether the client has to send.
func (p Phase) receiving() bool { return p == PhaseHeader || p == PhaseBody }
