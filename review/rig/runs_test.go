package rig

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record writes lines with the time since the start to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (l *record) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.file, "%8.3f  "+format+"\n", append([]any{time.Since(l.begun).Seconds()}, args...)...)
}

// entry is a run on an executor, as the executor has seen it.
type entry struct {
	task     string
	run      int
	executor string
	from, to time.Time // to is zero while it runs
	how      string
	noted    time.Time // when last_seen reached the end, zero if it did not
	history  *history
}

// history holds all runs.
type history struct {
	mu      sync.Mutex
	entries []*entry
}

func (h *history) begin(task string, number int, executor string) *entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &entry{task: task, run: number, executor: executor, from: time.Now(), history: h}
	h.entries = append(h.entries, e)
	return e
}

func (e *entry) end(how string) {
	e.history.mu.Lock()
	defer e.history.mu.Unlock()
	e.to, e.how = time.Now(), how
}

// note records that the end is taken note of.
func (e *entry) note() {
	e.history.mu.Lock()
	defer e.history.mu.Unlock()
	e.noted = time.Now()
}

// list returns a copy of all runs.
func (h *history) list() []entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]entry, 0, len(h.entries))
	for _, e := range h.entries {
		out = append(out, *e)
	}
	return out
}

// step is a step of a job that a client has sent.
type step struct {
	After     []int  `json:"after,omitempty"`
	Count     int    `json:"count"`
	CPU       int    `json:"cpu"`
	Mem       int    `json:"mem_mb"`
	Estimate  int64  `json:"estimated_ms,omitempty"`
	Gang      bool   `json:"gang,omitempty"`
	Perpetual bool   `json:"perpetual,omitempty"`
	Needs     string `json:"node_selector,omitempty"`
	Apart     int    `json:"anti_affinity,omitempty"`
	Miss      int    `json:"miss_budget,omitempty"`
	Image     string `json:"image,omitempty"`
	Target    int    `json:"target_ms,omitempty"`
	Fills     bool   `json:"fills,omitempty"`

	duration time.Duration // of a task on an executor
}

// stepOf returns the step of a task, or nil if no client sent it.
func (r *rig) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[parts[0]]
	k, _ := strconv.Atoi(parts[2])
	n, _ := strconv.Atoi(parts[3])
	if j == nil || k >= len(j.Steps) || n >= j.Steps[k].Count {
		return nil
	}
	return &j.Steps[k]
}

// gangs brings the members of a run of a gang together.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gang
}

type gang struct {
	members map[*run]*executor
	ended   bool
}

// of returns the gang of a run. The caller holds the lock.
func (g *gangs) of(r *run) *gang {
	key := r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.Itoa(r.number)
	if g.runs == nil {
		g.runs = make(map[string]*gang)
	}
	if g.runs[key] == nil {
		g.runs[key] = &gang{members: make(map[*run]*executor)}
	}
	return g.runs[key]
}

// joined records a member. When all members of the run are present, they work for
// the duration of the step and end done together.
func (g *gangs) joined(x *executor, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.of(r)
	all.members[r] = x
	if all.ended {
		if !x.failsAll() {
			go x.finish(r, "broken")
		}
		return
	}
	if len(all.members) < r.step.Count {
		return
	}
	for m, at := range all.members {
		at.mu.Lock()
		m.waiting = false
		if !at.failAll && m.timer.Stop() {
			m.timer = time.AfterFunc(r.step.duration, func() { at.finish(m, "done") })
		}
		at.mu.Unlock()
	}
}

// ended ends the other members as broken when one has ended otherwise than done.
func (g *gangs) ended(r *run, how string) {
	if how == "done" {
		return
	}
	g.mu.Lock()
	all := g.of(r)
	first := !all.ended
	all.ended = true
	members := maps.Clone(all.members)
	g.mu.Unlock()
	for m, at := range members {
		// An executor that fails all that it starts reports so for each of its runs.
		if first && m != r && !at.failsAll() {
			at.finish(m, "broken")
		}
	}
}
