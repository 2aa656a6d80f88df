package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host booted. Unlike [System], it includes
// the time for which the host was suspended. If the boot clock can't be read, it
// returns the wall-clock time since 1970. The result is not comparable with the
// instants of a [Clock].
func SinceBoot() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		// The wall-clock time includes suspensions too.
		return Millis(time.Now().UnixMilli())
	}
	return Millis(t.Sec*1000 + t.Nsec/int64(time.Millisecond))
}
