package record

// DefaultSeenLimit is the limit of a zero [Seen].
const DefaultSeenLimit = 1 << 16

// Seen holds the ids of recent records to detect duplicates. Once Limit ids were
// added, it holds at least the last Limit ids and at most twice as many. The
// zero value uses [DefaultSeenLimit].
type Seen struct {
	Limit int

	current, previous map[ID]struct{}
}

// Add adds id and reports whether it is new.
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

// Has reports whether s holds id.
func (s *Seen) Has(id ID) bool {
	if _, ok := s.current[id]; ok {
		return true
	}
	_, ok := s.previous[id]
	return ok
}

// Len returns the number of ids in s.
func (s *Seen) Len() int { return len(s.current) + len(s.previous) }
