package main

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/group"
)

// Guards against a second stop signal that does not shorten the drain, and
// against a first stop signal that does.
func TestSignals(t *testing.T) {
	is := is.New(t)
	g := group.New(context.Background())
	stop, kill := watchSignals(g, nil)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-stop.Done()
	is.NoErr(kill.Err())
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-kill.Done()
	g.Stop()
	is.NoErr(g.Wait())
}
