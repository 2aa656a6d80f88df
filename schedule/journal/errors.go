package journal

import "errors"

// ErrExpired is returned when a read asks for entries that retention removed.
var ErrExpired = errors.New("journal: entries expired")

// ErrTooLarge is returned when an entry is larger than [MaxEntryBytes].
var ErrTooLarge = errors.New("journal: entry too large")
