package dispatch

import (
	"unsafe"

	"mimosadock/schedule/unit"
)

// Bytes returns the memory of the job as submitted.
func (s *Spec) Bytes() unit.Bytes {
	n := int(unsafe.Sizeof(*s)) + len(s.Payload)
	for i := range s.Steps {
		t := &s.Steps[i]
		n += int(unsafe.Sizeof(*t)) + len(t.After)*int(unsafe.Sizeof(0)) + len(t.Needs) + len(t.Near) + len(t.Image)
	}
	return unit.Bytes(n)
}

// JobBytes returns the memory of an open job in the tables of a shard: that of the
// spec, of the list of occurrences, and of the tasks of those that are open at a time.
func (s *Spec) JobBytes() unit.Bytes { return s.jobBytes(min(s.TotalTasks(), maxOpenTasks)) }

// jobBytes returns the memory of a job with a number of tasks in its open occurrences.
func (s *Spec) jobBytes(openTasks int) unit.Bytes {
	return s.Bytes() + unit.Bytes(openTasks)*unit.Bytes(unsafe.Sizeof(Task{})) + unit.Bytes(s.occurrenceCount())*unit.Bytes(unsafe.Sizeof(Occurrence{}))
}

// JobBytes returns the memory of the jobs in the tables of the shard that are open
// or have runs to stop.
func (s *Shard) JobBytes() unit.Bytes { return s.jobBytes }

// addBytes counts the memory of a job that has a spec.
func (s *Shard) addBytes(j *Job) {
	if j.Spec != nil {
		j.bytes = j.Spec.JobBytes()
		s.jobBytes += j.bytes
	}
}

// removeBytes takes the memory of a job out of the count, if it is counted.
func (s *Shard) removeBytes(j *Job) {
	s.jobBytes -= j.bytes
	j.bytes = 0
}
