package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"mimosadock/schedule/group"
)

const (
	bodySize      = 250_000 // bytes, within the limit of the configuration
	missing       = 100     // bytes that a stopped body lacks
	pieceSize     = 16 << 10
	pieceInterval = 5 * time.Millisecond
	// writeTimeout bounds a write to a program that neither reads nor closes the
	// connection.
	writeTimeout = 5 * time.Second
	dialTimeout  = 5 * time.Second
)

// member returns what the nth client of a crowd sends. The client pauses after
// each piece, except the last one, and leaves its connection open.
type member func(n int) [][]byte

// crowd is a set of connections that stay open until close.
type crowd struct {
	clients group.Group
	stop    context.CancelFunc
}

// openCrowd connects the clients to an address and returns when each has sent all
// that it sends, or has lost its connection.
func openCrowd(address string, size int, m member) *crowd {
	ctx, stop := context.WithCancel(context.Background())
	c := &crowd{stop: stop}
	sent := new(group.Group)
	for n := range size {
		done := make(chan struct{})
		c.clients.Go("client", func(context.Context) error {
			conn, err := net.DialTimeout("tcp4", address, dialTimeout)
			if err == nil {
				send(conn, m(n))
				defer conn.Close() //nolint:errcheck // the connection may be broken
			}
			close(done)
			<-ctx.Done()
			return nil
		})
		sent.Go("wait", func(context.Context) error { <-done; return nil })
	}
	_ = sent.Wait() // a client returns no error
	return c
}

// send writes pieces until a write fails, which is how a program refuses.
func send(conn net.Conn, pieces [][]byte) {
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(pieceInterval)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(p); err != nil {
			return
		}
	}
}

// close closes all connections.
func (c *crowd) close() {
	c.stop()
	_ = c.clients.Wait() // a client returns no error
}

// jobID returns the id of the job of the nth client.
func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// jobOf returns a valid submission of one step that begins with a text and is
// padded with spaces to bodySize.
func jobOf(begin string) []byte {
	const end = `"steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":10}]}`
	return []byte(begin + strings.Repeat(" ", bodySize-len(begin)-len(end)) + end)
}

// head returns the head of a submission with the given header lines.
func head(n int, lines string) []byte {
	return fmt.Appendf(nil, "POST /q/%s HTTP/1.1\r\nHost: q.example\r\nContent-Type: application/json\r\n%s\r\n", jobID(n), lines)
}

// whole returns the pieces of a request with a body of known length that lacks
// its last bytes.
func whole(n int, body []byte, lacking int) [][]byte {
	return [][]byte{append(head(n, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body[:len(body)-lacking]...)}
}

// chunked returns the pieces of a request with a body in chunks of the given size
// that lacks its last bytes.
func chunked(n int, body []byte, size, lacking int) [][]byte {
	request := bytes.NewBuffer(head(n, "Transfer-Encoding: chunked\r\n"))
	for body = body[:len(body)-lacking]; len(body) > 0; {
		k := min(size, len(body))
		fmt.Fprintf(request, "%x\r\n%s\r\n", k, body[:k])
		body = body[k:]
	}
	if lacking == 0 {
		request.WriteString("0\r\n\r\n")
	}
	return [][]byte{request.Bytes()}
}

// inPieces cuts the pieces of a request into smaller ones.
func inPieces(request [][]byte) (pieces [][]byte) {
	for _, b := range request {
		for len(b) > 0 {
			k := min(pieceSize, len(b))
			pieces = append(pieces, b[:k])
			b = b[k:]
		}
	}
	return pieces
}

// unknownMethods returns requests with long methods that no other request has.
func unknownMethods(n int) (pieces [][]byte) {
	for i := range 20 {
		method := fmt.Sprintf("M%d-%d-%s", n, i, strings.Repeat("x", 8<<10))
		pieces = append(pieces, []byte(method+" /q/"+jobID(0)+" HTTP/1.1\r\nHost: q.example\r\n\r\n"))
	}
	return pieces
}

// shortFields returns a request whose header never ends, of the given size, with
// fields that are as short as possible.
func shortFields(size int) []byte {
	b := bytes.NewBufferString("GET /q/" + jobID(0) + " HTTP/1.1\r\nHost: q.example\r\n")
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(b, "%s:\n", strconv.FormatInt(int64(i), 36))
	}
	return b.Bytes()
}

// openHead returns a request whose header never ends, of the given size.
func openHead(size int) []byte {
	b := bytes.NewBufferString("GET /q/" + jobID(0) + " HTTP/1.1\r\nHost: q.example\r\n")
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(b, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 100))
	}
	return b.Bytes()
}
