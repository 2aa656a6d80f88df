package unit

// Identifiers used by the dispatcher.
type (
	// Queue is the name of a queue of jobs. The configuration of the platform
	// calls it a route.
	Queue string
	// Executor is the id of an executor. A later incarnation can reuse the id.
	Executor string
	// Member identifies an incarnation of a scheduler process in the group that
	// owns the shards. It begins with the peer address of the process and a slash.
	Member string
	// Shard is the number of a shard of the jobs and executors, from 0.
	Shard int
	// Image is the name of the image that the tasks of a step run.
	Image string
	// Machine is the id of a machine. Each incarnation of a machine is a
	// separate executor.
	Machine string
	// Label is a property of an executor, such as its rack.
	Label string
	// Ticket is a permission to start tasks of a step on an executor.
	Ticket string
	// Checkpoint is a saved state of a task. It is empty if there is none.
	Checkpoint string
)

// Sequence numbers used by the dispatcher.
type (
	// Run is the number of a run of a task, from 1.
	Run int
	// Token is the fencing token of an order to an executor. The executor refuses
	// a token that is lower than the highest one it has received.
	Token uint64
	// Generation is the generation of the group that owns the shards. It
	// increases with every change of the group. It is the fencing token of
	// appends to the store and of maintenance orders.
	Generation uint64
	// EndNumber is the number of an ended run in one incarnation of an executor,
	// from 1.
	EndNumber int64
	// Wave is the number of a maintenance wave.
	Wave int64
	// ConfigVersion is the version of the platform's configuration.
	ConfigVersion int64
)

// Instants on clocks other than the monotonic clock of the process.
type (
	// UnixMillis is a wall-clock time in milliseconds since 1970.
	UnixMillis int64
	// ExecutorMillis is an instant on the monotonic clock of an executor, in
	// milliseconds since the executor started.
	ExecutorMillis int64
)

// Percent is a percentage from 0 to 100.
type Percent int
