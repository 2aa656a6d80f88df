package fleet

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// group assigns the partitions of one topic to its members.
type group struct {
	topic      string
	generation uint64
	members    map[string]*member
	// holders are the members that hold the partitions, or "". A member keeps a
	// partition that is assigned to another one until it joins again with the
	// current generation. The API of the store calls them owners.
	holders       [PartitionCount]string
	reassignments int // how often all partitions were reassigned at once
}

// member is a member of a group. It expires if it does not join again within
// its TTL.
type member struct {
	lastJoin   time.Time
	ttl        time.Duration
	generation uint64 // as sent with the last join
}

// memberRequest is the body of a join or leave request.
type memberRequest struct {
	Member     string   `json:"member_id"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

// assignee returns the member that a partition is assigned to, or "" if the
// group has no members. Each reassignment moves half of the partitions to the next
// member and the others to the previous one.
func (g *group) assignee(part int) string {
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return ""
	}
	n, moved := len(names), g.reassignments%len(names)
	if part/n%2 == 1 {
		moved = n - moved
	}
	return names[(part+moved)%n]
}

// remove removes a member, frees its partitions and starts a new generation.
func (g *group) remove(name string) {
	delete(g.members, name)
	g.generation++
	for p := range g.holders {
		if g.holders[p] == name {
			g.holders[p] = ""
		}
	}
}

// expire removes the members that have not joined again within their TTL.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.Sub(m.lastJoin) > m.ttl {
			g.remove(name)
		}
	}
}

// rebalance releases the partitions that the named member holds and that are
// assigned to others, provided that it joined with the current generation. It
// then gives the member the free partitions that are assigned to it.
func (g *group) rebalance(name string, generation uint64) {
	for p := range g.holders {
		if g.holders[p] == name && g.assignee(p) != name && generation >= g.generation {
			g.holders[p] = ""
		}
		if g.holders[p] == "" && g.assignee(p) == name {
			g.holders[p] = name
		}
	}
}

// Reassign reassigns all partitions to other members at once, in a new generation
// and without a request, unless there is only one member.
func (s *Store) Reassign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	g.expire(time.Now())
	g.generation++
	g.reassignments++
	for p := range g.holders {
		g.holders[p] = g.assignee(p)
	}
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var b memberRequest
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	g.topic = b.Topics[0]
	if g.members == nil {
		g.members = make(map[string]*member)
	}
	g.expire(time.Now())
	if g.members[b.Member] == nil {
		g.generation++
	}
	g.members[b.Member] = &member{time.Now(), time.Duration(b.TTL) * time.Millisecond, b.Generation}
	g.rebalance(b.Member, b.Generation)
	parts := [][]any{}
	for p := range g.holders {
		if g.holders[p] == b.Member && g.assignee(p) == b.Member {
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": b.TTL, "parts": parts})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var b memberRequest
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.remove(b.Member)
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Store) serveOwners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.expire(time.Now())
	parts := [][]any{}
	for p, name := range s.group.holders {
		if name != "" {
			parts = append(parts, []any{s.group.topic, p, name, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts})
}

// Members returns the sorted names of the members of the group.
func (s *Store) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.group.members))
}

// Owners returns the names of the members that hold the partitions, or "".
func (s *Store) Owners() [PartitionCount]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.holders
}
