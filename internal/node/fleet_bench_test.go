package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// benchDomains is the number of failure domains in BenchmarkFleet.
const benchDomains = 5

// benchEndpoint returns the n-th endpoint of a fleet in its initial state.
func benchEndpoint(n int) registry.Endpoint {
	return registry.Endpoint{
		ID: registry.Incarnation(fmt.Sprintf("i-%08x", uint32(n)*2654435761), 1764745945123+int64(n)), Number: uint64(uint32(n) * 2654435761),
		Service: "booking", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(n >> 8), byte(n)}), 8080),
		Domain: fmt.Sprint("d", n%benchDomains), Slots: 2, Sequence: 1,
	}
}

// BenchmarkFleet measures the memory and processor time that a control instance uses while a
// fleet starts, by number of linked entries and of endpoints. The figures include the entries'
// ends of the links, which run in this process and discard the received frames. If FLEET_HEAP is
// set to a file name, a heap profile is written there. Run it with:
//
//	go test ./internal/node -run '^$' -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	for n, size := range []struct{ links, endpoints int }{{0, 10_000}, {118, 10_000}, {985, 10_000}, {118, 20_000}} {
		b.Run(fmt.Sprintf("links=%d/endpoints=%d", size.links, size.endpoints), func(b *testing.B) {
			for b.Loop() {
				benchFleetStart(b, byte(140+n), size.links, size.endpoints)
			}
		})
	}
}

// benchFleetStart starts a control instance with the given number of entries linked, adds
// endpoints, and reports the memory and processor time used.
func benchFleetStart(b *testing.B, subnet byte, links, endpoints int) {
	folder := b.TempDir()
	peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), subnet, 1}), 17740)
	control := NewControl(ControlConfig{
		Domain: "d0", PeerAddr: peer, Front: "front", Seeds: []netip.AddrPort{peer}, FirstStart: true, Voters: 1, HeartbeatInterval: 2 * time.Second,
		OpenFiles: func() (storage.Files, error) { return storage.Folder(folder) },
		Dial:      DialTCP, Log: log.New(io.Discard), Now: MonotonicClock(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = control.Run(ctx) }()
	before, cpu := memoryInUse(), cpuTime()
	for n := range links {
		go readLink(ctx, peer.String(), n)
	}
	for control.entries.count() < links {
		time.Sleep(time.Millisecond)
	}
	peak := memoryInUse()
	for n := range endpoints {
		control.endpoints.heartbeat(benchEndpoint(n))
		if n%500 == 0 {
			time.Sleep(50 * time.Millisecond) // as the heartbeats of a fleet would arrive
			peak = max(peak, memoryInUse())
		}
	}
	time.Sleep(time.Second)
	peak = max(peak, memoryInUse())
	if path := os.Getenv("FLEET_HEAP"); path != "" {
		if f, err := os.Create(path); err == nil {
			_ = pprof.WriteHeapProfile(f)
			_ = f.Close()
		}
	}
	b.ReportMetric(float64(peak-before)/(1<<20), "MB")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(time.Millisecond), "ms-cpu")
	if links > 0 {
		b.ReportMetric(float64(peak-before)/float64(links)/(1<<10), "kB/link")
	}
}

// readLink runs the entry's end of a link; it discards received frames until the context is
// done.
func readLink(ctx context.Context, address string, n int) {
	var raw net.Conn
	for {
		var err error
		if raw, err = DialTCP(ctx, address, time.Second); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	stream, done, err := openLink(ctx, raw)
	if err != nil {
		return
	}
	defer done()
	subscription := &wire.Subscription{Brief: n%3 > 0}
	hello := &wire.Hello{Id: fmt.Sprint("e", n), Domain: fmt.Sprint("d", n%benchDomains)}
	for _, frame := range []*wire.Frame{helloFrame(hello), {Body: &wire.Frame_Subscription{Subscription: subscription}}} {
		if stream.Send(frame) != nil {
			return
		}
	}
	receipt := &wire.Frame{Body: &wire.Frame_Receipt{Receipt: &wire.Receipt{}}}
	for {
		frame, err := stream.Recv()
		if err == nil && frame.GetRoster() != nil {
			err = stream.Send(receipt)
		}
		if err != nil {
			return
		}
	}
}

// memoryInUse returns the size of heap and stacks in bytes.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
