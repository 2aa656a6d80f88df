package journal

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/group"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
	standin "mimosadock/standin/journal"
)

// virtualClock returns the virtual time since start.
type virtualClock struct{ start time.Time }

func (s virtualClock) Now() clock.Millis { return clock.Millis(time.Since(s.start).Milliseconds()) }

// Guards against more than 100 appends per second at the target scale, which
// happens if writers put too few records into one append. The scale is 8 owners
// with 230 starts and 230 ends per second in total, and the configuration
// changes of a day. The test appends the records of starts and ends.
func TestAppendRate(t *testing.T) {
	is := is.New(t)
	const seconds = 15
	m := new(standin.Memory)
	accepted := 0
	synctest.Test(t, func(*testing.T) {
		c := virtualClock{time.Now()}
		m.Clock = c
		var g group.Group
		replies := make(chan stream.Receipt, seconds*2*Target.StartsPerSecond)
		var writers []*stream.Writer
		for range Target.DataCentres {
			w := stream.NewWriter(m, c)
			writers = append(writers, w)
			g.Go("writer", w.Run)
		}
		idSources := make([]record.IDSource, Target.DataCentres)
		for n := range seconds * 2 * Target.StartsPerSecond {
			i := n / 2 % Target.DataCentres
			idSources[i].Writer = unit.Instance(fmt.Sprintf("0191a1c2-7d10-7000-8000-00000000000%d", i))
			r, err := Target.record(&idSources[i], n/2, n%2 == 1)
			is.NoErr(err)
			is.NoErr(writers[i].Offer(stream.Submission{Records: []record.Record{r}, Deadline: clock.Never, Reply: replies}))
			time.Sleep(time.Second / time.Duration(2*Target.StartsPerSecond))
		}
		time.Sleep(time.Second)
		g.Stop()
		is.NoErr(g.Wait())
		accepted = len(replies)
	})
	counts := m.Counts()
	t.Logf("appends %.1f a second, %.0f bytes a second in all, %.0f for each writer",
		float64(counts.Appends)/seconds, float64(counts.Bytes)/seconds, float64(counts.Bytes)/seconds/float64(Target.DataCentres))
	is.Equal(accepted, seconds*2*Target.StartsPerSecond)
	is.True(counts.Appends < 100*seconds)
}

// BenchmarkRecord measures adding one encoded record of an attempt to an entry,
// and decoding one record from an entry.
func BenchmarkRecord(b *testing.B) {
	o := &record.IDSource{Writer: "0191a1c2-7d10-7000-8000-000000000001"}
	b.Run("encode", func(b *testing.B) {
		var builder record.EntryBuilder
		b.ReportAllocs()
		for n := range b.N {
			r, err := Target.record(o, n%1000, false)
			if err != nil {
				b.Fatal(err)
			}
			if ok, _ := builder.Add(r); !ok {
				builder.Reset()
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		m, _, err := Target.Scale(100).Fill(snapshot.Limits{TailBytes: 64 << 20, Changes: 1})
		if err != nil {
			b.Fatal(err)
		}
		entries, err := m.Read(b.Context(), 0, 1<<20)
		if err != nil {
			b.Fatal(err)
		}
		var items []record.DecodedRecord
		b.ReportAllocs()
		b.ResetTimer()
		for n := 0; n < b.N; {
			for _, e := range entries {
				items = record.DecodeEntry(items[:0], e)
				for _, it := range items {
					if it.Record.Kind == record.Started {
						if _, err := record.Decode[Attempt](it.Record); err != nil {
							b.Fatal(err)
						}
					}
				}
				n += len(items)
			}
		}
	})
}

// BenchmarkRecovery measures recoveries from a snapshot and the records after it
// at three sizes of the workload.
func BenchmarkRecovery(b *testing.B) {
	for range b.N {
		sizes, err := MeasureRecoveries()
		if err != nil {
			b.Fatal(err)
		}
		for _, r := range sizes {
			b.Logf("%d tasks: tail %d KB, %d records: %d ms of processor time, %d MB of heap",
				r.Workload.RunningTasks, r.JournalBytes>>10, r.TailRecords, r.CPU.Milliseconds(), r.MaxHeap>>20)
		}
	}
}

// BenchmarkTraffic measures the bytes per second of one owner over HTTP.
func BenchmarkTraffic(b *testing.B) {
	for range b.N {
		n, err := Target.MeasureTraffic(b.Context(), 5*time.Second)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(n), "bytes/s")
	}
}

// BenchmarkSnapshots measures the time that the control goroutine needs to
// encode the snapshots of all scopes.
func BenchmarkSnapshots(b *testing.B) {
	o := &record.IDSource{Writer: "a"}
	var r config.Register
	r.Attach(0)
	c, err := config.NewChange(0, "morag", 1, Target.servicesText(0))
	if err != nil {
		b.Fatal(err)
	}
	r.Apply(0, o.NextID(), c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Target.encodeSnapshots(o, &r, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCheck measures the check of one configuration change.
func BenchmarkCheck(b *testing.B) {
	c, err := config.NewChange(0, "morag", 1, Target.servicesText(0))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		config.Check(c.Change)
	}
}
