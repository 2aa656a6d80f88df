package service

import "fmt"

//go:generate go tool stringer -type=Class,WorkClass -linecomment -output=enums_string.go

// Class is the service class of requests. It determines their order in the queue.
type Class int

// The classes of requests, in the order in which they are served:
//   - Urgent requests are served first.
//   - Standard requests come next.
//   - Bulk requests may use only a share of the slots.
//   - Long requests can have deadlines of up to two hours, all others of up to a
//     minute. They are never hedged.
const (
	Urgent   Class = iota // urgent
	Standard              // standard
	Bulk                  // bulk
	Long                  // long
)

// WorkClass is the class of a kind of work, which runs as tasks on workers.
type WorkClass int

// The classes of work, highest priority first:
//   - LatencyCritical work is placed before all other work.
//   - Standing work consists of tasks that run until they are cancelled. A task
//     is retried after every failure, without a maximum number of attempts.
//   - Batch work is pre-empted for the other classes.
const (
	LatencyCritical WorkClass = iota // latencyCritical
	Standing                         // standing
	Batch                            // batch
)

// MarshalText returns the camel-case name of c.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText sets c from its camel-case name.
func (c *Class) UnmarshalText(text []byte) error {
	return parseName(c, text, Urgent, Long)
}

// MarshalText returns the camel-case name of c.
func (c WorkClass) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText sets c from its camel-case name.
func (c *WorkClass) UnmarshalText(text []byte) error {
	return parseName(c, text, LatencyCritical, Batch)
}

// enum is an integer type with generated names.
type enum interface {
	~int
	fmt.Stringer
}

// parseName sets dst to the value from first to last that is named text.
func parseName[E enum](dst *E, text []byte, first, last E) error {
	for e := first; e <= last; e++ {
		if e.String() == string(text) {
			*dst = e
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %s", text, joinNames(first, last))
}

// joinNames returns the names of the values from first to last, separated by
// commas.
func joinNames[E enum](first, last E) string {
	var s string
	for e := first; e <= last; e++ {
		if e > first {
			s += ", "
		}
		s += e.String()
	}
	return s
}
