package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"mimosadock/schedule/group"
)

// Answers of a [Script] that are not sent as they are.
const (
	Close = ""     // closes the connection without an answer
	Hang  = "hang" // gives no answer and waits for the peer to close
	// Then closes the connection after the answer that it ends.
	Then = "|close"
)

// Script is an upstream that answers with given bytes, also such that no HTTP
// server would send. Use [Play].
type Script struct {
	listener net.Listener
	group    group.Group
}

// Play serves on a free loopback port. The n-th connection gets the n-th list
// of answers, one for each request; further connections are refused. After its
// answers a connection stays open until the peer closes it.
func Play(connections ...[]string) (*Script, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Script{listener: l}
	s.group.Go("accept", func(context.Context) error {
		defer l.Close()
		for i, answers := range connections {
			c, err := l.Accept()
			if err != nil {
				return nil // the script was closed
			}
			if i == len(connections)-1 {
				l.Close() // before an answer lets the peer dial again
			}
			s.group.Go("play", func(context.Context) error {
				serveAnswers(c, answers)
				return nil
			})
		}
		return nil
	})
	return s, nil
}

// Address returns "ip:port".
func (s *Script) Address() string { return s.listener.Addr().String() }

// Close stops the script. The peers must have closed their connections.
func (s *Script) Close() error {
	s.listener.Close()
	return s.group.Wait()
}

func serveAnswers(c net.Conn, answers []string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for _, a := range answers {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if a == Hang {
			break
		}
		text, closes := strings.CutSuffix(a, Then)
		_, _ = io.WriteString(c, text)
		if closes || a == Close {
			return
		}
	}
	_, _ = in.ReadByte()
}
