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

// Answers of a [Script] with a special meaning, which are not sent.
const (
	// CloseWithoutAnswer closes the connection without an answer.
	CloseWithoutAnswer = ""
	// NoAnswer sends no answer and waits until the peer closes the connection.
	NoAnswer = "hang"
	// CloseSuffix is a suffix of an answer. The connection is closed after the answer.
	CloseSuffix = "|close"
)

// Script is an upstream that sends prepared bytes as answers, so that a test can
// use malformed HTTP. Use [ListenScript].
type Script struct {
	listener net.Listener
	group    group.Group
}

// ListenScript serves a script on a free loopback port. The n-th connection gets
// the n-th list of answers, one for each request. Further connections are
// refused. After the last answer a connection stays open until the peer closes
// it.
func ListenScript(connections ...[]string) (*Script, error) {
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
				l.Close() // before the first answer, after which the peer may dial again
			}
			s.group.Go("connection", func(context.Context) error {
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

// Close stops the script. It waits until the peers have closed their
// connections.
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
		if a == NoAnswer {
			break
		}
		text, closes := strings.CutSuffix(a, CloseSuffix)
		_, _ = io.WriteString(c, text)
		if closes || a == CloseWithoutAnswer {
			return
		}
	}
	_, _ = in.ReadByte()
}
