package dispatch

import (
	"errors"
	"fmt"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Bounds of a submission.
const (
	maxPayload = 4000 // bytes; the platform refuses starts with more
	maxSteps   = 64
	maxTasks   = 10_000 // of one occurrence
)

// Spec is a submitted job.
type Spec struct {
	ID       unit.Job        `cbor:"1,keyasint"`
	Queue    Queue           `cbor:"2,keyasint"` // as it was when the job was accepted
	Payload  string          `cbor:"3,keyasint"`
	Steps    []Step          `cbor:"4,keyasint"`
	Repeat   int             `cbor:"5,keyasint,omitempty"` // occurrences; 0 is one, at once
	StartAt  unit.UnixMillis `cbor:"6,keyasint,omitempty"` // of occurrence 0
	Interval clock.Span      `cbor:"7,keyasint,omitempty"` // between occurrences
}

// Step is a set of like tasks.
type Step struct {
	Count           int            `cbor:"1,keyasint"`
	Size            unit.Resources `cbor:"2,keyasint"` // of one task
	Estimate        clock.Span     `cbor:"3,keyasint,omitempty"`
	After           []int          `cbor:"4,keyasint,omitempty"` // steps that must be done first
	SavesProgress   bool           `cbor:"5,keyasint,omitempty"`
	Gang            bool           `cbor:"6,keyasint,omitempty"` // all tasks start and end together
	SameRack        bool           `cbor:"7,keyasint,omitempty"` // slower when spread over racks
	Needs           unit.Label     `cbor:"8,keyasint,omitempty"` // label that the executor must have
	Near            unit.Rack      `cbor:"9,keyasint,omitempty"` // rack that holds the data
	MaxPerExecutor  int            `cbor:"10,keyasint,omitempty"`
	AllowConcurrent bool           `cbor:"11,keyasint,omitempty"`
	Perpetual       bool           `cbor:"12,keyasint,omitempty"`
	Image           unit.Image     `cbor:"13,keyasint,omitempty"`
	TailTarget      clock.Span     `cbor:"14,keyasint,omitempty"` // bound of a service's tail latency
	Fills           bool           `cbor:"15,keyasint,omitempty"` // runs on processor time that others leave
	MissBudget      int            `cbor:"16,keyasint,omitempty"` // tasks that orders may take away at once
}

// Queue is a route on which jobs are submitted.
type Queue struct {
	Name          unit.Queue   `cbor:"1,keyasint"`
	Host          string       `cbor:"-"`
	Prefix        string       `cbor:"-"`
	Service       unit.Service `cbor:"2,keyasint"`
	Priority      int          `cbor:"3,keyasint"` // 0 first
	MaxAttempts   int          `cbor:"4,keyasint"` // failed runs of one task
	SlackFactor   float64      `cbor:"5,keyasint"`
	TargetLatency clock.Span   `cbor:"6,keyasint"`
	Advice        *Advice      `cbor:"7,keyasint,omitempty"` // nil where all executors may run the tasks
}

// Config is one version of the platform's configuration.
type Config struct {
	Version unit.ConfigVersion
	Queues  []Queue
	MaxBody unit.Bytes
}

// Find returns the queue with the given host and the longest prefix of path,
// or nil.
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

// Check returns an error that tells what is wrong with s and what is allowed.
func (s *Spec) Check() error {
	if len(s.Payload) > maxPayload {
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(s.Payload), maxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Repeat < 0 || s.Interval < 0 {
		return errors.New("occurrences and their interval must not be negative")
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
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("%d tasks, 1 to %d are allowed", s.Count, maxTasks)
	}
	if s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("sizes and estimates must not be negative")
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return fmt.Errorf("comes after step %d, must name an earlier step", predecessor)
		}
	}
	return nil
}

// demand is what a task of s takes from the room of an executor. Tasks that
// fill take no processor time.
func (s *Step) demand() unit.Resources {
	d := s.Size
	if s.Fills {
		d.CPU = 0
	}
	return d
}
