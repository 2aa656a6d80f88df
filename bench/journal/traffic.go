package journal

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mimosadock/entry/stream"
	"mimosadock/platform"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
	standin "mimosadock/standin/journal"
)

// counted counts the bytes of the connections that it accepts.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countedConn{conn, &c.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Traffic returns the bytes a second between the journal and one owner that
// reads everything and writes its share, over HTTP and with headers, measured
// for the given time while the other owners write theirs.
func (w Workload) Traffic(ctx context.Context, d time.Duration) (unit.Bytes, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	m, c := new(standin.Memory), &counted{Listener: l}
	srv := &http.Server{Handler: standin.Handler(m), ReadHeaderTimeout: time.Second}
	client := platform.NewJournal(l.Addr().String())
	g := group.New(ctx)
	g.Go("server", func(context.Context) error {
		if err := srv.Serve(c); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	writers := []*stream.Writer{stream.NewWriter(client, clock.System{})}
	for len(writers) < w.DataCentres {
		writers = append(writers, stream.NewWriter(m, clock.System{}))
	}
	for _, writer := range writers {
		g.Go("writer", writer.Run)
	}
	reader := &stream.Reader{
		Journal: client, Clock: clock.System{}, ObserveEnd: writers[0].ObserveEnd,
		Deliver: func(context.Context, *stream.Batch) error { return nil },
	}
	g.Go("reader", reader.Run)
	err = w.produce(ctx, writers, d)
	client.Close()
	total := c.bytes.Load()
	g.Stop()
	err = errors.Join(err, srv.Close(), g.Wait())
	return unit.Bytes(float64(total) / d.Seconds()), err
}

// produce hands the starts and ends of tasks to their writers in real time.
func (w Workload) produce(ctx context.Context, writers []*stream.Writer, d time.Duration) error {
	origins := make([]record.Origin, len(writers))
	for i := range origins {
		origins[i].Writer = unit.Instance("0191a1c2-7d10-7000-8000-00000000000" + string('0'+rune(i%10)))
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	started := time.Now()
	for n := 0; time.Since(started) < d; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		for due := int(time.Since(started).Seconds() * float64(2*w.Starts)); n < due; n++ {
			i := n / 2 % len(writers)
			r, err := w.record(&origins[i], n/2, n%2 == 1)
			if err != nil {
				return err
			}
			if err := writers[i].Offer(stream.Submission{Records: []record.Record{r}, Deadline: clock.Never}); err != nil {
				return err
			}
		}
	}
	return nil
}
