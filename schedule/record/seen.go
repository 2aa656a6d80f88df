package record

// DefaultSeenLimit is the limit of a zero [SeenIDs].
const DefaultSeenLimit = 1 << 16

// SeenIDs holds the ids of recent records to detect duplicates. Once Limit ids
// were added, it holds at least the last Limit ids and at most twice as many.
// The zero value uses [DefaultSeenLimit].
type SeenIDs struct {
	Limit int

	current, previous map[ID]struct{}
}

// Add adds id and reports whether it is new.
func (s *SeenIDs) Add(id ID) bool {
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
func (s *SeenIDs) Has(id ID) bool {
	if _, ok := s.current[id]; ok {
		return true
	}
	_, ok := s.previous[id]
	return ok
}

// Len returns the number of ids in s.
func (s *SeenIDs) Len() int { return len(s.current) + len(s.previous) }
