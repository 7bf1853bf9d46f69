package node

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// BenchmarkFirstAck measures the time from a failure to the acknowledgement of the first
// order after it, by kind of failure. The order is sent to one instance after the other until
// it is acknowledged. Run it with -benchtime 1x, as each iteration needs a fresh failure:
//
//	go test ./internal/node -run '^$' -bench FirstAck -benchtime 1x -count 5
func BenchmarkFirstAck(b *testing.B) {
	losses := []struct {
		name string
		lose func(b *testing.B, f controlFleet)
	}{
		{"none", func(*testing.B, controlFleet) {}},
		{"a follower stops", func(_ *testing.B, f controlFleet) { f.follower().stop() }},
		{"the leader stops", func(_ *testing.B, f controlFleet) { f.leader().stop() }},
		{"the leader's disk is full", func(_ *testing.B, f controlFleet) { f.leader().disk.SetFull(true) }},
		{"the leader's disk hangs", func(b *testing.B, f controlFleet) { b.Cleanup(f.leader().disk.Stall()) }},
		{"a follower's disk hangs", func(b *testing.B, f controlFleet) { b.Cleanup(f.follower().disk.Stall()) }},
		{"the leader restarts with an empty disk", func(b *testing.B, f controlFleet) {
			lost := f.leader()
			lost.stop()
			lost.replaceDisk(b.TempDir())
			lost.start()
		}},
		{"all restart", func(_ *testing.B, f controlFleet) {
			f.stop()
			for _, r := range f {
				r.start()
			}
		}},
	}
	for n, loss := range losses {
		b.Run(loss.name, func(b *testing.B) {
			f := startFleet(byte(60+n), 3, 3, b.TempDir, log.New(io.Discard))
			b.Cleanup(f.stop)
			f.put(1)
			time.Sleep(time.Second) // until all instances follow the leader
			b.ResetTimer()
			loss.lose(b, f)
			f.put(2)
			b.ReportMetric(float64(b.Elapsed().Milliseconds()), "ms/ack")
		})
	}
}
