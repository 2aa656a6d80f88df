package control

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
)

// maxBytesPerSecond limits the control messages that one process sends and
// receives.
const maxBytesPerSecond = 21_000

// BenchmarkControlBytes measures the encoded control messages that each process
// sends per second at the target size: 28 processes in 8 data centres with 150
// upstreams each. The steady case starts no requests, so its messages repeat.
// The light case starts at most one request per upstream and tick. The heavy case
// fills and releases slots all the time.
func BenchmarkControlBytes(b *testing.B) {
	for name, maxStarts := range map[string]int{"steady": 0, "light": 1, "heavy": 5} {
		b.Run(name, func(b *testing.B) {
			c := scenarioConfig()
			c.processCounts, c.upstreams, c.maxStarts = []int{4, 4, 4, 4, 3, 3, 3, 3}, 150, maxStarts
			m := newModel(1, c)
			m.runTo(8_000)
			var heartbeats, demands, grants float64
			sent := make([]float64, len(m.procs))
			m.onPost = func(p *proc, out Outgoing) {
				data, err := cbor.Marshal(out.Body)
				if err != nil {
					b.Error(err)
				}
				sent[p.index] += float64(len(data))
				switch out.Body.(type) {
				case *tenure.Heartbeat:
					heartbeats += float64(len(data))
				case *slot.Demand:
					demands += float64(len(data))
				default:
					grants += float64(len(data))
				}
			}
			seconds := 0
			for b.Loop() {
				m.runTo(m.now.Add(clock.Second))
				seconds++
			}
			nodes := float64(len(m.procs) * seconds)
			b.ReportMetric(heartbeats/nodes, "heartbeatB/s")
			b.ReportMetric(demands/nodes, "demandB/s")
			b.ReportMetric(grants/nodes, "grantsB/s")
			b.ReportMetric((heartbeats+demands+grants)/nodes, "sentB/s")
			maxSent := slices.Max(sent) / float64(seconds)
			b.ReportMetric(maxSent, "mostSentB/s")
			if 2*maxSent > maxBytesPerSecond { // an owner receives about the same amount as it sends
				b.Errorf("%.0f B/s, want at most %d", 2*maxSent, maxBytesPerSecond)
			}
		})
	}
}
