package unit

// Identifiers of the places where work runs.
type (
	// Region is the name of a group of data centres that share long-distance
	// links.
	Region string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Rack is the name of a rack within a data centre.
	Rack string
	// Host is the IP address of a host.
	Host string
	// Upstream is the address of an upstream as "ip:port".
	Upstream string
	// Worker is the address of a worker as "ip:port".
	Worker string
	// Instance identifies an incarnation of an entry process or a worker. It
	// changes when the process restarts. A [Member] identifies an incarnation of a
	// scheduler process.
	Instance string
)

// Identifiers of callers, teams and work.
type (
	// Caller is the key that identifies a caller.
	Caller string
	// Team is the name of a team that uses the platform.
	Team string
	// Service is the name of a service in the services text.
	Service string
	// Kind is the name of a kind of work in the services text.
	Kind string
	// Request identifies one request of a caller.
	Request string
	// Job identifies a job.
	Job string
	// Task identifies a task of a job.
	Task string
)

// Sequence numbers.
type (
	// Attempt is the number of an attempt of a task, from 1.
	Attempt int
	// Epoch is the number of a tenure of a data centre, from 1. A tenure is a
	// period in which one process owns the data centre. The epoch is the fencing
	// token of every command to a worker.
	Epoch uint64
	// Revision is the number of an accepted configuration, from 1.
	Revision uint64
	// Offset is the position of an entry in the journal.
	Offset uint64
)

// Quantities.
type (
	// Slots is a number of requests that an upstream may process at once.
	Slots int
	// MilliCPU is processor capacity in thousandths of a core.
	MilliCPU int64
	// MiB is memory in mebibytes.
	MiB int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
	// Bytes is a size in bytes.
	Bytes int64
)

// Resources is an amount of each resource of a worker. The zero value is an
// empty amount.
type Resources struct {
	CPU          MilliCPU     `json:"cpu" yaml:"cpu" cbor:"1,keyasint,omitempty"`
	Memory       MiB          `json:"memory" yaml:"memory" cbor:"2,keyasint,omitempty"`
	Accelerators Accelerators `json:"accelerators" yaml:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.CPU + s.CPU, r.Memory + s.Memory, r.Accelerators + s.Accelerators}
}

// Sub returns r minus s. Components can become negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.CPU - s.CPU, r.Memory - s.Memory, r.Accelerators - s.Accelerators}
}

// Fits reports whether no component of r exceeds that of available.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}
