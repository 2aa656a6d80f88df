package dispatch

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// MaxSteps bounds the steps of a job.
const MaxSteps = 64

// Other bounds of a submission.
const (
	maxPayload = 4000   // bytes; the platform refuses starts with more
	maxTasks   = 10_000 // in one occurrence

	maxOccurrences = 10_000
	maxTasksOfJob  = 200_000 // in all occurrences, which can be due at once
	maxSize        = 1 << 40 // of a task, in the unit of the resource; keeps sums from overflow
	maxSpan        = 365 * 24 * clock.Hour
	maxStartAt     = unit.UnixMillis(1 << 53)
)

// Spec is a submitted job.
type Spec struct {
	ID       unit.Job        `cbor:"1,keyasint"`
	Queue    Queue           `cbor:"2,keyasint"` // as configured when the job was accepted
	Payload  string          `cbor:"3,keyasint"`
	Steps    []Step          `cbor:"4,keyasint"`
	Repeat   int             `cbor:"5,keyasint,omitempty"` // number of occurrences; 0 is one that starts at once
	StartAt  unit.UnixMillis `cbor:"6,keyasint,omitempty"` // start of occurrence 0
	Interval clock.Span      `cbor:"7,keyasint,omitempty"` // between the starts of occurrences
}

// Step is a set of identical tasks.
type Step struct {
	Count           int            `cbor:"1,keyasint"`
	Size            unit.Resources `cbor:"2,keyasint"` // of one task
	Estimate        clock.Span     `cbor:"3,keyasint,omitempty"`
	After           []int          `cbor:"4,keyasint,omitempty"` // indices of the steps that must be done first
	SavesProgress   bool           `cbor:"5,keyasint,omitempty"` // runs save checkpoints
	Gang            bool           `cbor:"6,keyasint,omitempty"` // all tasks start and end together
	SameRack        bool           `cbor:"7,keyasint,omitempty"` // tasks run slower if they are spread over racks
	Needs           unit.Label     `cbor:"8,keyasint,omitempty"` // label that the executor must have
	Near            unit.Rack      `cbor:"9,keyasint,omitempty"` // rack that holds the input data
	MaxPerExecutor  int            `cbor:"10,keyasint,omitempty"`
	AllowConcurrent bool           `cbor:"11,keyasint,omitempty"` // as submitted; stored but not used by the scheduler
	Perpetual       bool           `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image           unit.Image     `cbor:"13,keyasint,omitempty"` // kind of program; tasks of one image are taken to interfere alike and to peak together
	TailTarget      clock.Span     `cbor:"14,keyasint,omitempty"` // upper bound of the tail latency of a serving task, 0 for other tasks
	Fills           bool           `cbor:"15,keyasint,omitempty"` // best-effort: runs on processor time that other tasks leave idle
	MissBudget      int            `cbor:"16,keyasint,omitempty"` // an evacuation moves a perpetual run only while fewer other tasks of the step are unavailable; 0 is unlimited
}

// Queue is a route on which jobs are submitted.
type Queue struct {
	Name          unit.Queue    `cbor:"1,keyasint"`
	Host          string        `cbor:"-"` // host name in the URL of the route, not a machine
	Prefix        string        `cbor:"-"` // path prefix of the route; the job's id follows it
	Service       unit.Service  `cbor:"2,keyasint"`
	Priority      int           `cbor:"3,keyasint"`           // 0 is the highest
	MaxAttempts   int           `cbor:"4,keyasint"`           // failed runs of one task before the job fails
	SlackFactor   float64       `cbor:"5,keyasint"`           // factor of the critical path in the latency objective
	TargetLatency clock.Span    `cbor:"6,keyasint"`           // constant part of the latency objective
	Advice        *AdvicePolicy `cbor:"7,keyasint,omitempty"` // nil if every executor may run the tasks
}

// ServiceConfig configures the executors of a service.
type ServiceConfig struct {
	Name           unit.Service
	MaxConnections int // number of connections that each executor accepts
}

// Config is one version of the configuration of the platform.
type Config struct {
	Version  unit.ConfigVersion
	Queues   []Queue
	Services []ServiceConfig
	MaxBody  unit.Bytes
}

// Find returns the queue with the given host and the longest matching prefix
// of path, or nil if none matches.
func (c *Config) Find(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && len(path) >= len(q.Prefix) && path[:len(q.Prefix)] == q.Prefix &&
			(best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// names reports whether a queue has the given service.
func (c *Config) names(service unit.Service) bool {
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == service })
}

// maxImageName is the length up to which an image keeps its name. The tables keep the
// images of a thousand kinds of runs and more after their jobs have ended.
const maxImageName = 128

// ImageNamed returns the image with a name. A long name is replaced by its digest.
func ImageNamed(name unit.Image) unit.Image {
	if len(name) <= maxImageName {
		return name
	}
	return unit.Image(fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(name))))
}

// Check returns an error that says which bound s exceeds and what is allowed,
// or nil if s is valid.
func (s *Spec) Check() error {
	if len(s.Payload) > maxPayload {
		return fmt.Errorf("payload has %d bytes, at most %d are allowed", len(s.Payload), maxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Repeat < 0 || s.Interval < 0 {
		return errors.New("number of occurrences and interval between them must not be negative")
	}
	if s.Repeat > maxOccurrences {
		return fmt.Errorf("job has %d occurrences, at most %d are allowed", s.Repeat, maxOccurrences)
	}
	if s.Interval > maxSpan || s.StartAt < 0 || s.StartAt > maxStartAt {
		return errors.New("start or interval is out of range")
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += s.Steps[i].Count
	}
	if total > maxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", total, maxTasks)
	}
	if total*s.occurrenceCount() > maxTasksOfJob {
		return fmt.Errorf("job has %d tasks in all occurrences, at most %d are allowed", total*s.occurrenceCount(), maxTasksOfJob)
	}
	return nil
}

// check returns an error if a value of s is out of bounds or s depends on a
// step at or after index.
func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("%d tasks, 1 to %d are allowed", s.Count, maxTasks)
	}
	if s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("sizes and estimates must not be negative")
	}
	if s.Size.CPU > maxSize || s.Size.Memory > maxSize || s.Size.Accelerators > maxSize || s.Estimate > maxSpan {
		return errors.New("size or estimate is out of range")
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return fmt.Errorf("comes after step %d, must name an earlier step", predecessor)
		}
	}
	return nil
}

// demand returns the resources that are allocated to a task of s on an
// executor. Best-effort tasks are allocated no processor time.
func (s *Step) demand() unit.Resources {
	d := s.Size
	if s.Fills {
		d.CPU = 0
	}
	return d
}
