package steer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// FuzzReports checks that no report of another process crashes a control instance or an entry,
// or corrupts its digest.
func FuzzReports(f *testing.F) {
	seed := reports(report("booking", 1, nil), report("booking", 2, func(m *wire.EndpointReport) { m.Gone = true }))
	seed.Sums = []*wire.RecordSum{{Id: "booking-1", Sum: 7}}
	seed.Beats = []*wire.Beat{{Id: "booking-1", Sequence: 9, AgeNanos: -5}}
	seed.Same = 3
	raw, err := proto.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw, raw)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		r := registry.New(registry.Config{HeartbeatPeriod: time.Second}, start)
		s := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 10, HeartbeatInterval: time.Second})
		s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
		now := start
		for _, raw := range [][]byte{first, second} {
			m := &wire.Reports{}
			if proto.Unmarshal(raw, m) != nil {
				return
			}
			now = now.Add(3 * time.Second)
			r.Merge(now, m)
			r.Sweep(now)
			s.Learn(now, "c1", r.ChangeSummary(now, 0))
			s.Learn(now, "c1", r.Missing(now, s.Digest()))
			s.Learn(now, "c2", m)
			s.Decide(now, synPacket(1000, 7, 0))
			s.Decide(now, flowPacket(1000, Tag("booking-1"), 8, 1, 10))
		}
		var digest registry.Digest
		for _, b := range s.byID {
			digest.Toggle(b.ID, registry.Sum(b.Endpoint))
		}
		if digest != s.Digest() {
			t.Error("the digest does not match the known endpoints")
		}
	})
}
