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

// countingListener counts the bytes read and written on the connections that it
// accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countingConn{conn, &c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// MeasureTraffic returns the bytes per second between the journal and one owner
// over HTTP, headers included. The owner reads all records and writes those of
// its own data centre, while the other owners write theirs. The measurement
// takes the time d.
func (w Workload) MeasureTraffic(ctx context.Context, d time.Duration) (unit.Bytes, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	m, c := new(standin.Memory), &countingListener{Listener: l}
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

// produce submits the records of starts and ends of tasks to their writers in
// real time, for the time d.
func (w Workload) produce(ctx context.Context, writers []*stream.Writer, d time.Duration) error {
	idSources := make([]record.IDSource, len(writers))
	for i := range idSources {
		idSources[i].Writer = unit.Instance("0191a1c2-7d10-7000-8000-00000000000" + string('0'+rune(i%10)))
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
		for due := int(time.Since(started).Seconds() * float64(2*w.StartsPerSecond)); n < due; n++ {
			i := n / 2 % len(writers)
			r, err := w.record(&idSources[i], n/2, n%2 == 1)
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
