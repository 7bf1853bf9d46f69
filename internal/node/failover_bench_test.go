package node

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// BenchmarkFirstAck tells how long the first order after a loss takes, from the
// loss to its acknowledgement, by the kind of loss; orders are offered to one
// instance after the other, each for 0.2 s, as operators turn elsewhere. One loss
// a run: go test ./internal/node -run '^$' -bench FirstAck -benchtime 1x -count 5.
func BenchmarkFirstAck(b *testing.B) {
	losses := []struct {
		name string
		lose func(b *testing.B, f controlFleet)
	}{
		{"none", func(*testing.B, controlFleet) {}},
		{"a follower stops", func(_ *testing.B, f controlFleet) { f.follower().stop() }},
		{"the leader stops", func(_ *testing.B, f controlFleet) { f.leader().stop() }},
		{"the leader's disk is full", func(_ *testing.B, f controlFleet) { f.leader().disk.SetFull(true) }},
		{"the leader's disk stands still", func(b *testing.B, f controlFleet) { b.Cleanup(f.leader().disk.Stall()) }},
		{"a follower's disk stands still", func(b *testing.B, f controlFleet) { b.Cleanup(f.follower().disk.Stall()) }},
		{"the leader restarts with an empty disk", func(b *testing.B, f controlFleet) {
			lost := f.leader()
			lost.stop()
			lost.lose(b.TempDir())
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
			f.order(1)
			time.Sleep(time.Second) // so that all of them follow
			b.ResetTimer()
			loss.lose(b, f)
			f.order(2)
			b.ReportMetric(float64(b.Elapsed().Milliseconds()), "ms/ack")
		})
	}
}
