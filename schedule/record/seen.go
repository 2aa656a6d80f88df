package record

// DefaultSeenLimit is how many ids a zero [Seen] remembers at least.
const DefaultSeenLimit = 1 << 16

// Seen remembers the ids of the last records, to find those that come twice.
// It remembers at least Limit and at most twice as many. The zero value uses
// [DefaultSeen].
type Seen struct {
	Limit int

	current, previous map[ID]struct{}
}

// Add remembers id and reports whether it is new.
func (s *Seen) Add(id ID) bool {
	if s.Has(id) {
		return false
	}
	limit := s.Limit
	if limit <= 0 {
		limit = DefaultSeenLimit
	}
	if s.current == nil || len(s.current) >= limit {
		s.previous, s.current = s.current, make(map[ID]struct{})
	}
	s.current[id] = struct{}{}
	return true
}

// Has reports whether id is remembered.
func (s *Seen) Has(id ID) bool {
	if _, ok := s.current[id]; ok {
		return true
	}
	_, ok := s.previous[id]
	return ok
}

// Len returns the number of remembered ids.
func (s *Seen) Len() int { return len(s.current) + len(s.previous) }
