package unit

// Identifiers of the places where work runs.
type (
	// Region names a group of data centres that share long-distance links.
	Region string
	// DataCentre names a data centre.
	DataCentre string
	// Rack names a rack within a data centre.
	Rack string
	// Host names a machine by its IP number.
	Host string
	// Upstream names one executor of a service by "ip:port".
	Upstream string
	// Worker names one worker by "ip:port".
	Worker string
	// Instance identifies one start of one process of the system. A
	// restarted process has another instance.
	Instance string
)

// Identifiers of the parties and of the work.
type (
	// Caller identifies who sends requests.
	Caller string
	// Team names a team that shares the platform.
	Team string
	// Service names a service of the services text.
	Service string
	// Kind names a kind of batch or standing work.
	Kind string
	// Request identifies one request of a caller.
	Request string
	// Job identifies a job.
	Job string
	// Task identifies a task of a job.
	Task string
)

// Ordered numbers.
type (
	// Attempt counts the attempts of a task from 1.
	Attempt int
	// Epoch numbers the tenures of a data centre from 1. It is the fencing
	// token of every command to a worker.
	Epoch uint64
	// Revision numbers the accepted configurations from 1.
	Revision uint64
	// Offset is a position in the journal.
	Offset uint64
)

// Quantities.
type (
	// Slots counts requests that an upstream may process at once.
	Slots int
	// MilliCPU is processor capacity in thousandths of a core.
	MilliCPU int64
	// MiB is memory in mebibytes.
	MiB int64
	// Accelerators counts whole accelerators.
	Accelerators int64
	// Bytes is a size in bytes.
	Bytes int64
)

// Resources is an amount of every resource of a worker. The zero value is
// nothing.
type Resources struct {
	CPU          MilliCPU     `json:"cpu" yaml:"cpu" cbor:"1,keyasint,omitempty"`
	Memory       MiB          `json:"memory" yaml:"memory" cbor:"2,keyasint,omitempty"`
	Accelerators Accelerators `json:"accelerators" yaml:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.CPU + s.CPU, r.Memory + s.Memory, r.Accelerators + s.Accelerators}
}

// Sub returns r less s. Components may become negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.CPU - s.CPU, r.Memory - s.Memory, r.Accelerators - s.Accelerators}
}

// Fits reports whether r is at most room in every component.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}
