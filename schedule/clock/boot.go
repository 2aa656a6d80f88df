package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the milliseconds since the host booted. It includes the
// time for which the host was suspended, unlike [System].
func SinceBoot() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		// The wall-clock time includes suspensions too.
		return Millis(time.Now().UnixMilli())
	}
	return Millis(t.Sec*1000 + t.Nsec/int64(time.Millisecond))
}
