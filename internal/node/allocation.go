package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/admission"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/utilisation"
	"oxbowsaddle/internal/wire"
)

const (
	// maxCreditDatagramSize is the size of a read in bytes. A full list of what an entry holds
	// in a large pool exceeds one packet.
	maxCreditDatagramSize = 1 << 16
	// creditSocketBuffer is the receive buffer of the socket in bytes, which Linux doubles. It
	// holds 400 lists of 20 endpoints, which took 12 to 15 ms to answer; the default held 170.
	// A larger one would only delay requests beyond the 10 ms after which entries ask the next
	// allocator.
	creditSocketBuffer = 256 << 10
)

// allocation answers the requests of entries for credits at a control instance. It is safe for
// concurrent use.
type allocation struct {
	lists        *poolLists
	evacuated    func(domain string) bool // whether a failure domain is evacuated
	malformed    atomic.Uint64            // datagrams that are no CreditRequest
	unknownPools atomic.Uint64            // requests of pools without endpoint records

	mu        sync.Mutex
	allocator *admission.Allocator
}

// newAllocation returns an allocation without entries. evacuated reports whether a failure
// domain is evacuated.
func newAllocation(endpoints *endpointList, evacuated func(domain string) bool) *allocation {
	a := &allocation{lists: newPoolLists(endpoints), evacuated: evacuated}
	a.allocator = admission.New(admission.Config{Endpoints: a.acceptingEndpoints, Seed: rand.Uint64()})
	return a
}

// handle returns the reply to a datagram of an entry, nil if it gets none. A request of a pool
// without endpoint records gets none, since an instance that has only just started without a disk
// would refuse everything; the entry then asks another instance.
func (a *allocation) handle(now time.Time, datagram []byte) *wire.CreditReply {
	var request wire.CreditRequest
	if proto.Unmarshal(datagram, &request) != nil || request.Entry == "" || request.Service == "" {
		a.malformed.Add(1)
		return nil
	}
	if !a.lists.request(now, registry.Pool{Service: request.Service, Domain: request.Domain}) {
		a.unknownPools.Add(1)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := a.allocator.Handle(now, &request)
	if reply != nil && !a.lists.endpoints.complete() {
		reply.Learning = true // a refusal may be for want of an endpoint that is not known yet
	}
	return reply
}

// pools returns the state of the pools in use.
func (a *allocation) pools(now time.Time) []*wire.PoolUtilisation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Pools(now)
}

// totals returns the credits granted and refused since the start by service, and the messages
// that had no effect.
func (a *allocation) totals() (map[string]admission.Totals, admission.Ignored) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Totals(), a.allocator.Ignored()
}

// acceptingEndpoints returns the endpoints of a pool that may be granted, none if its failure
// domain is evacuated. The allocator calls it every 100 ms for each pool in use.
func (a *allocation) acceptingEndpoints(service, domain string) (all []utilisation.Endpoint) {
	if a.evacuated(domain) {
		return nil
	}
	now := a.lists.endpoints.now()
	for _, e := range a.lists.get(registry.Pool{Service: service, Domain: domain}) {
		all = append(all, utilisation.Endpoint{Number: e.Number, Slots: e.Slots, Cold: now.Before(e.WarmAt)})
	}
	return all
}

// isEvacuated reports whether a failure domain is evacuated by the orders in force.
func (c *Control) isEvacuated(domain string) bool {
	return c.published.Load().evacuations.Has(domain)
}

// allocationLoop answers requests for credits until the context is done. If the address is unusable, the instance runs on without, and entries ask the next one.
func (c *Control) allocationLoop(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.config.PeerAddr))
	if err != nil {
		c.config.Log.Error("cannot listen for requests for credits", "address", c.config.PeerAddr, "error", err)
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadBuffer(creditSocketBuffer) // with the default buffer, bursts lose more requests
	raw, encoded := make([]byte, maxCreditDatagramSize), []byte(nil)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(raw)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(minDialPause) // the socket is unusable for now: do not spin
			continue
		}
		encoded = c.answerCreditRequest(conn, from, raw[:n], encoded)
	}
}

// answerCreditRequest answers one datagram. It encodes the reply into the buffer and returns
// that for the next one.
func (c *Control) answerCreditRequest(conn *net.UDPConn, from netip.AddrPort, datagram, buffer []byte) []byte {
	reply := c.allocation.handle(c.config.Now(), datagram)
	if reply == nil {
		return buffer
	}
	encoded, err := proto.MarshalOptions{}.MarshalAppend(buffer[:0], reply)
	if err != nil {
		c.config.Log.Error("cannot encode a reply to a request for credits", "error", err)
		return buffer
	}
	_, _ = conn.WriteToUDPAddrPort(encoded, from) // the entry asks again after a lost reply
	return encoded
}
