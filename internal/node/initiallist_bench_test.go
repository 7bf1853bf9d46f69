package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// BenchmarkFirstLists measures the processor time per entry when many entries without records
// request the endpoint list at once, as after a power failure. It includes the entries' ends of
// the links, but not the processing of the list by an entry. Run it with:
//
//	go test ./internal/node -run '^$' -bench FirstLists -benchtime 1x
func BenchmarkFirstLists(b *testing.B) {
	const entries, endpoints = 295, 600
	f := startFleet(80, 1, 1, b.TempDir, log.New(io.Discard))
	b.Cleanup(f.stop)
	for n := range endpoints {
		f[0].endpoints.heartbeat(registry.Endpoint{
			ID: fmt.Sprintf("i-%08x", uint32(n)*2654435761), Number: uint64(uint32(n) * 2654435761), Service: "booking",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(n >> 8), byte(n)}), 8080), Domain: "plateau", Slots: 2, Sequence: uint64(n),
		})
	}
	for b.Loop() {
		before := cpuTime()
		var all sync.WaitGroup
		size := 0
		for range entries {
			all.Add(1)
			go func() {
				defer all.Done()
				frame := requestInitialList(b, f[0].config.PeerAddr.String())
				if n := len(frame.GetPacked()); n > 0 {
					size = n
				}
			}()
		}
		all.Wait()
		b.ReportMetric(float64((cpuTime()-before).Microseconds())/entries, "µs-cpu/entry")
		b.ReportMetric(float64(size), "bytes")
	}
}

// requestInitialList requests all endpoints and returns the first frame with records.
func requestInitialList(b *testing.B, address string) *wire.Frame {
	raw, err := DialTCP(context.Background(), address, time.Second)
	if err != nil {
		b.Error(err)
		return nil
	}
	stream, done, err := openLink(context.Background(), raw)
	if err != nil {
		b.Error(err)
		return nil
	}
	defer done()
	subscription := &wire.Frame{Body: &wire.Frame_Subscription{Subscription: &wire.Subscription{}}}
	for _, frame := range []*wire.Frame{helloFrame(&wire.Hello{Id: "e", Domain: "almadies"}), subscription} {
		if err := stream.Send(frame); err != nil {
			b.Error(err)
			return nil
		}
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			b.Error(err)
			return nil
		}
		if frame.GetPacked() != nil || frame.GetReports() != nil {
			return frame
		}
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var used unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &used)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
