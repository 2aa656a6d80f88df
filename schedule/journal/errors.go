package journal

import "errors"

// ErrExpired is returned for a read of entries that retention has removed.
var ErrExpired = errors.New("journal: entries expired")

// ErrTooLarge is returned for an entry of more than [MaxEntryBytes].
var ErrTooLarge = errors.New("journal: entry too large")
