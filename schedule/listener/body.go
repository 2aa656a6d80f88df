package listener

import (
	"io"
	"net/http"

	"mimosadock/schedule/intake"
	"mimosadock/schedule/unit"
)

// bufferSize is the unit in which the memory of a body is reserved.
const bufferSize = 4 << 10

// trackedBody notes the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.conn.guard.receiveBody(b.conn, n)
	if err == io.EOF {
		b.conn.guard.enter(b.conn, intake.PhaseServing)
	}
	return n, err
}

// Stream notes that the handler reads the body of a request at its own pace, so
// that the client may have to wait.
func Stream(r *http.Request) {
	if c := connOf(r); c != nil {
		c.guard.enter(c, intake.PhaseServing)
	}
}

// ReadBody reads the body of a request and passes it to use, which must not keep
// it. The memory of the body is reserved as it arrives and is free again when
// ReadBody returns. Bodies that don't fit into one buffer are used one at a time,
// since use may need many times their size. The error is that of use, ErrTooLarge,
// ErrTooSlow, ErrNoRoom, or that of the connection.
func ReadBody(r *http.Request, limit unit.Bytes, use func(body []byte) error) error {
	c := connOf(r)
	if c == nil {
		return readUnguarded(r, limit, use)
	}
	b := body{conn: c}
	defer b.free()
	if err := b.read(r.Body, limit); err != nil {
		if cause := c.refused.Load(); cause != nil {
			return *cause
		}
		return err
	}
	if len(b.buffers) <= 1 {
		return use(b.contents(nil))
	}
	c.guard.decoding.Lock()
	defer c.guard.decoding.Unlock()
	c.guard.scratch = b.contents(c.guard.scratch[:0])
	return use(c.guard.scratch)
}

// Keep reserves bytes that a handler keeps until the request is answered, such as
// the decoded body. It returns ErrNoRoom if there is no room for them.
func Keep(r *http.Request, n unit.Bytes) error {
	if c := connOf(r); c != nil && !c.guard.reserve(c, n) {
		return ErrNoRoom
	}
	return nil
}

// readUnguarded reads a body of a server without a guard.
func readUnguarded(r *http.Request, limit unit.Bytes, use func(body []byte) error) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return err
	}
	if unit.Bytes(len(b)) > limit {
		return ErrTooLarge
	}
	return use(b)
}

// body is a body in buffers of bufferSize bytes.
type body struct {
	conn    *conn
	buffers []*[bufferSize]byte
	size    int // bytes read
}

// read reads all of r. It reserves a buffer when the first byte for it has arrived.
func (b *body) read(r io.Reader, limit unit.Bytes) error {
	var first [1]byte
	for {
		dst := first[:]
		full := b.size == len(b.buffers)*bufferSize
		if !full {
			dst = b.buffers[len(b.buffers)-1][b.size%bufferSize:]
		}
		n, err := r.Read(dst)
		if unit.Bytes(b.size+n) > limit {
			return ErrTooLarge
		}
		if full && n > 0 {
			if err := b.add(first[0]); err != nil {
				return err
			}
		}
		b.size += n
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add adds a buffer that begins with a byte.
func (b *body) add(first byte) error {
	g := b.conn.guard
	if !g.reserve(b.conn, bufferSize) {
		return ErrNoRoom
	}
	buffer, _ := g.buffers.Get().(*[bufferSize]byte)
	if buffer == nil {
		buffer = new([bufferSize]byte)
	}
	buffer[0] = first
	b.buffers = append(b.buffers, buffer)
	return nil
}

// contents returns the body. It uses dst unless the body is in one buffer.
func (b *body) contents(dst []byte) []byte {
	for i, buffer := range b.buffers {
		part := buffer[:min(bufferSize, b.size-i*bufferSize)]
		if len(b.buffers) == 1 {
			return part
		}
		dst = append(dst, part...)
	}
	return dst
}

// free frees the memory of the body.
func (b *body) free() {
	b.conn.guard.release(b.conn, unit.Bytes(len(b.buffers)*bufferSize))
	for _, buffer := range b.buffers {
		b.conn.guard.buffers.Put(buffer)
	}
	b.buffers = nil
}
