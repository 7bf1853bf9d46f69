package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/dchest/siphash"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/attachment"
	"oxbowsaddle/internal/credit"
	"oxbowsaddle/internal/linkload"
	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/internal/wire"
)

const (
	// admissionTick is the interval of the periodic work of admission control under load. It is
	// well below the time that allocators have to answer.
	admissionTick = 5 * time.Millisecond
	// Keys of the hash that ranks control instances for a pool. All entries must use the same.
	allocatorKey0 = 0x6f78626f77736164
	allocatorKey1 = 0x616c6c6f63617465
)

type (
	// entryAdmission connects the admission control of an entry to the allocators of credits. Its
	// fields are guarded by the mutex of the entry, unless stated otherwise.
	entryAdmission struct {
		entry     *Entry
		conn      *net.UDPConn           // set before the loops start
		packets   *net.UDPConn           // set before the loops start
		instances []attachment.Candidate // control instances, of which pools have their allocators
		ranked    map[[2]string][]netip.AddrPort
		entries   map[string]int // entries of the own failure domain, by control instance
		wake      chan struct{}  // wakes tickLoop
		wait      *telemetry.Timing
		malformed uint64
		link      *linkload.Meter
		linkPeak  float64 // highest utilisation of the link
	}
)

func newEntryAdmission(e *Entry) *entryAdmission {
	return &entryAdmission{
		entry: e, ranked: map[[2]string][]netip.AddrPort{}, entries: map[string]int{},
		link: linkload.New(e.config.LinkCapacity),
		wake: make(chan struct{}, 1), wait: telemetry.NewTiming("oxbowsaddle_admission_wait_seconds"),
	}
}

// creditConfig returns the configuration of the account of credits.
func (a *entryAdmission) creditConfig() *credit.Config {
	life := uint64(time.Now().UnixNano()) // later than that of earlier processes of the entry
	return &credit.Config{
		Entry: a.entry.config.Name, Domain: a.entry.config.Domain, Life: life, Seed: life, Send: a.send, Link: a.link.Utilisation,
		OnMode: func(service string, loaded bool, requests, share float64) {
			a.entry.config.Log.Info("load mode", "service", service, "on", loaded, "requests", round(requests), "share", round(share))
		},
	}
}

// round rounds a number for a log line.
func round(x float64) float64 { return math.Round(10*x) / 10 }

// afterDecision counts a packet, keeps a copy of one that is held, and wakes tickLoop under load. The
// caller holds the lock.
func (a *entryAdmission) afterDecision(now time.Time, p steer.Packet, d steer.Decision, raw []byte) {
	a.link.Add(now, len(raw))
	if d.Action == steer.Forward || d.Action == steer.Reset {
		a.link.Add(now, len(raw))
	}
	if u := a.link.Utilisation(now); u > a.linkPeak+0.05 {
		a.linkPeak = u
		a.entry.config.Log.Info("link", "peak", u)
	}
	if d.Action == steer.Hold {
		a.entry.steerer.KeepHeld(p, raw)
	}
	if a.entry.steerer.AdmissionIdle() {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// send sends a request to an allocator. The caller holds the lock.
func (a *entryAdmission) send(attempt int, request *wire.CreditRequest) bool {
	allocators := a.allocators(request.Service, request.Domain)
	if a.conn == nil || len(allocators) == 0 {
		return false
	}
	datagram, err := proto.Marshal(request)
	if err != nil {
		return false // for example a name that is not UTF-8
	}
	// Send errors count as a lost datagram.
	_, _ = a.conn.WriteToUDPAddrPort(datagram, allocators[attempt%len(allocators)])
	return true
}

// allocators returns the control instances for a pool: those of its failure domain first, each
// group in the order of a hash, which is the same at every entry.
func (a *entryAdmission) allocators(service, domain string) []netip.AddrPort {
	key := [2]string{service, domain}
	if list, ok := a.ranked[key]; ok {
		return list
	}
	instances := slices.Clone(a.instances)
	rank := func(c attachment.Candidate) uint64 {
		return siphash.Hash(allocatorKey0, allocatorKey1, []byte(service+" "+domain+" "+c.Address))
	}
	far := func(c attachment.Candidate) int {
		if c.Domain == domain {
			return 0
		}
		return 1
	}
	slices.SortFunc(instances, func(x, y attachment.Candidate) int {
		return cmp.Or(cmp.Compare(far(x), far(y)), cmp.Compare(rank(y), rank(x)))
	})
	var list []netip.AddrPort
	for _, c := range instances {
		if addr, err := netip.ParseAddrPort(c.Address); err == nil {
			list = append(list, addr)
		}
	}
	a.ranked[key] = list
	return list
}

// handleRoster takes the number of entries from the roster of source, and the control instances
// that rosters list.
func (a *entryAdmission) handleRoster(source string, roster *wire.Roster, instances []attachment.Candidate) {
	byAddress := func(x, y attachment.Candidate) int { return cmp.Compare(x.Address, y.Address) }
	slices.SortFunc(instances, byAddress)
	a.entry.mu.Lock()
	defer a.entry.mu.Unlock()
	if !slices.Equal(instances, a.instances) {
		a.instances = instances
		clear(a.ranked)
	}
	a.entries[source] = int(roster.Entries)
	most := 0
	for _, n := range a.entries {
		most = max(most, n)
	}
	a.entry.steerer.SetEntries(most)
}

// metrics returns the counters and gauges of admission control.
func (a *entryAdmission) metrics() (all []metric) {
	a.entry.mu.Lock()
	defer a.entry.mu.Unlock()
	account := a.entry.steerer.Account()
	for _, service := range slices.Sorted(maps.Keys(account.Outcomes())) {
		for outcome, n := range account.Outcomes()[service] {
			if o := credit.Outcome(outcome); o != credit.Waiting {
				all = append(all, metric{fmt.Sprintf("oxbowsaddle_admission_total{service=%q,outcome=%q}", service, o), n})
			}
		}
	}
	messages := account.Messages()
	return append(all,
		metric{"oxbowsaddle_credit_requests_total", messages.Requests},
		metric{"oxbowsaddle_credit_timeouts_total", messages.Timeouts},
		metric{"oxbowsaddle_credit_bytes_total", messages.Bytes},
		metric{"oxbowsaddle_credit_malformed_total", a.malformed},
		metric{"oxbowsaddle_link_peak_percent", uint64(100 * a.linkPeak)},
		metric{"oxbowsaddle_services_loaded", uint64(account.LoadedServices())},
	)
}

// removeSource drops what a control instance that is out of reach has reported. The caller holds
// the lock.
func (a *entryAdmission) removeSource(source string) { delete(a.entries, source) }

// receiveLoop handles replies of allocators until the context is done. If the address is in use,
// the entry runs on without admission control.
func (a *entryAdmission) receiveLoop(ctx context.Context) error {
	config := a.entry.config
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.AdmissionAddr))
	if err != nil {
		config.Log.Error("cannot listen for replies of allocators", "address", config.AdmissionAddr, "error", err)
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	a.entry.mu.Lock()
	a.conn = conn
	a.entry.mu.Unlock()
	raw, out := make([]byte, maxPacketSize), make([]byte, 0, maxPacketSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(raw)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			a.handleReply(raw[:n], out)
		}
	}
}

// handleReply handles one datagram of an allocator.
func (a *entryAdmission) handleReply(datagram, out []byte) {
	var reply wire.CreditReply
	err := proto.Unmarshal(datagram, &reply)
	now := a.entry.config.Now()
	a.entry.mu.Lock()
	if err != nil {
		a.malformed++
		a.entry.mu.Unlock()
		return
	}
	resolved := a.entry.steerer.HandleCreditReply(now, &reply)
	a.entry.mu.Unlock()
	a.executeAll(now, resolved, out)
}

// tickLoop does the periodic work of admission control under load, until the context is done.
func (a *entryAdmission) tickLoop(ctx context.Context) error {
	out := make([]byte, 0, maxPacketSize)
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		ticker.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		}
		ticker.Reset(admissionTick)
		for idle := false; !idle; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
			idle = a.tick(out)
		}
	}
}

// tick does the periodic work, and reports whether there is none until the next packet.
func (a *entryAdmission) tick(out []byte) (idle bool) {
	now := a.entry.config.Now()
	a.entry.mu.Lock()
	resolved := a.entry.steerer.TickAdmission(now)
	idle = a.entry.steerer.AdmissionIdle()
	a.entry.mu.Unlock()
	a.executeAll(now, resolved, out)
	return idle
}

// countSent counts a packet that is sent.
func (a *entryAdmission) countSent(now time.Time, bytes int) {
	a.entry.mu.Lock()
	defer a.entry.mu.Unlock()
	a.link.Add(now, bytes)
}

// executeAll carries out the decisions on packets that were held.
func (a *entryAdmission) executeAll(now time.Time, resolved []steer.Resolved, out []byte) {
	for _, r := range resolved {
		a.wait.Observe(r.Waited)
		if r.Decision.Action != steer.Drop {
			a.countSent(now, len(r.Raw))
		}
		a.entry.execute(a.packets, now, r.Packet, r.Decision, r.Raw, out)
	}
}
