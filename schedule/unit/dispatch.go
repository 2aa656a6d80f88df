package unit

// Identifiers of the parts of the dispatcher.
type (
	// Queue names a route on which jobs are submitted.
	Queue string
	// Executor names one executor; an id may come back with a later life.
	Executor string
	// Member names one start of one scheduler process; it begins with the
	// process's peer address and a slash.
	Member string
	// Shard numbers one part of the jobs and executors, from 0.
	Shard int
	// Image names what the tasks of a step run.
	Image string
	// Machine names a machine; each of its lives is an executor of its own.
	Machine string
	// Label is a property of an executor, such as its rack.
	Label string
	// Ticket allows the starts of a step on an executor.
	Ticket string
	// Checkpoint is a saved state of a task. Empty is none.
	Checkpoint string
)

// Ordered numbers of the dispatcher.
type (
	// Run numbers the starts of a task from 1.
	Run int
	// Token is a fencing token; an executor refuses lower ones than it has
	// seen.
	Token uint64
	// Generation numbers the changes of the group that owns the shards.
	Generation uint64
	// EndNumber numbers the ends of runs in one life of an executor, from 1.
	EndNumber int64
	// Wave numbers the waves of upkeep.
	Wave int64
	// ConfigVersion numbers the configurations of the platform.
	ConfigVersion int64
)

// Instants on clocks other than the process's own.
type (
	// UnixMillis is a time of day in milliseconds since 1970.
	UnixMillis int64
	// ExecutorMillis is an instant on the steady clock of an executor, in
	// milliseconds since its start.
	ExecutorMillis int64
)

// Percent is a share of 0 to 100.
type Percent int
