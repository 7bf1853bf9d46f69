package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/work"
)

const (
	healthCacheTime = 500 * time.Millisecond
	warmupSlowdown  = 3 // factor of the service time
	blockBytes      = 256
	blockSZX        = 4 // block size exponent of RFC 7959 for 256 bytes
)

type (
	// BackendConfig configures a Backend.
	BackendConfig struct {
		Name        string
		Service     string
		Addr        netip.AddrPort
		HealthAddr  netip.AddrPort
		Addresses   []netip.AddrPort // accepted destinations: those of the service's classes
		Slots       int
		Connections int
		ServiceTime time.Duration
		Warmup      time.Duration                 // time after the start in which requests take warmupSlowdown times as long
		Blocks      uint32                        // in the response to a GET; 0 is a single message
		Pick        func() (netip.AddrPort, bool) // entry to send a packet to
		Recorder    *Recorder
		Now         func() time.Time
	}

	// Backend simulates one endpoint of a backend server. It receives Geneve
	// packets, accepts TCP flows, and runs CoAP requests in a fixed number of
	// slots, with cancellation and deadlines. Its health reports may be out of date.
	Backend struct {
		config       BackendConfig
		conn         *net.UDPConn
		http         *http.Server
		encoder      *packet.Encoder
		started      time.Time
		mu           sync.Mutex
		flows        map[packet.Tuple]bool  // open
		running      map[string]*time.Timer // by client and token
		seen         map[string]bool        // by client, message ID and token, to drop duplicates (RFC 7252 section 4.5)
		reportDown   bool                   // regardless of its real state
		cachedHealth healthReport
		cachedAt     time.Time
	}

	// healthReport is the JSON response to a health check.
	healthReport struct {
		Healthy     bool `json:"healthy"`
		Leaving     bool `json:"leaving"`
		Shedding    bool `json:"shedding"`
		Connections int  `json:"connections"`
		Running     int  `json:"running"`
	}
)

// NewBackend opens the sockets of an endpoint and starts to serve.
func NewBackend(c BackendConfig) (*Backend, error) {
	conn, err := listenUDP(c.Addr)
	if err != nil {
		return nil, err
	}
	encoder, err := packet.NewEncoder()
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	b := &Backend{
		config: c, conn: conn, encoder: encoder, started: c.Now(), flows: map[packet.Tuple]bool{},
		running: map[string]*time.Timer{}, seen: map[string]bool{},
	}
	listener, err := net.Listen("tcp", c.HealthAddr.String())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.health)
	b.config.HealthAddr = netip.MustParseAddrPort(listener.Addr().String())
	b.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go b.runHealth(listener)
	go b.run()
	return b, nil
}

// runHealth answers health checks until the server is closed.
func (b *Backend) runHealth(listener net.Listener) { _ = b.http.Serve(listener) }

// Name returns the name of the endpoint.
func (b *Backend) Name() string { return b.config.Name }

// Addr returns the UDP address for Geneve packets.
func (b *Backend) Addr() netip.AddrPort { return localAddr(b.conn) }

// HealthAddr returns the HTTP address for health checks.
func (b *Backend) HealthAddr() netip.AddrPort { return b.config.HealthAddr }

// Flows returns the number of open flows.
func (b *Backend) Flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

// ReportDown makes health checks report, falsely, that the endpoint is down and
// idle.
func (b *Backend) ReportDown(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportDown = on
}

// Close closes the sockets.
func (b *Backend) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return errors.Join(b.conn.Close(), b.http.Shutdown(ctx))
}

// health answers a health check; the report is up to healthCacheTime old.
func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	now := b.config.Now()
	if now.Sub(b.cachedAt) > healthCacheTime {
		b.cachedAt = now
		b.cachedHealth = healthReport{Healthy: true, Connections: len(b.flows), Running: len(b.running)}
	}
	answer := b.cachedHealth
	if b.reportDown {
		answer = healthReport{}
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (b *Backend) run() {
	var d packet.Decoder
	var p packet.Packet
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || d.Decode(buffer[:n], &p) != packet.Decoded {
			continue
		}
		if !b.accepts(p.Tuple().Dst()) {
			b.config.Recorder.recordMisdelivered()
			continue
		}
		if p.Tuple().Transport() == packet.TCP {
			seq, _ := d.TCPSequence()
			b.handleTCP(&p, seq)
		} else {
			b.handleRequest(p.Clone())
		}
	}
}

func (b *Backend) accepts(addr netip.AddrPort) bool {
	for _, a := range b.config.Addresses {
		if a == addr {
			return true
		}
	}
	return false
}

// handleTCP answers a TCP packet. It echoes data, so that clients can check that
// they get their own.
func (b *Backend) handleTCP(p *packet.Packet, seq uint32) {
	b.mu.Lock()
	open := b.flows[p.Tuple()]
	full := len(b.flows) >= b.config.Connections
	answer := packet.NewFlags(false, true, false, false)
	switch {
	case p.Flags().Opens() && (open || !full):
		if !open {
			b.config.Recorder.recordAccepted(b.config.Name)
		}
		b.flows[p.Tuple()] = true
		answer = packet.NewFlags(true, true, false, false)
	case p.Flags().Opens():
		b.config.Recorder.recordOverfull()
		answer = packet.NewFlags(false, true, false, true)
	case open && p.Flags().Ends():
		delete(b.flows, p.Tuple())
		answer = packet.NewFlags(false, true, true, false)
	case !open:
		if p.Flags().Ends() {
			answer = packet.NewFlags(false, true, true, false) // retransmitted FIN
		} else {
			answer = packet.NewFlags(false, true, false, true)
		}
	}
	b.mu.Unlock()
	inner, err := packet.Build(p.Tuple().Reverse(), answer, 1, seq+1, p.Payload())
	if err == nil {
		b.send(inner)
	}
}

func (b *Backend) send(inner []byte) {
	if to, ok := b.config.Pick(); ok {
		_, _ = b.conn.WriteToUDPAddrPort(b.encoder.AppendPlain(nil, inner), to)
	}
}

// handleRequest runs a request in a free slot, or refuses it. A reset cancels
// the client's request.
func (b *Backend) handleRequest(p *packet.Packet) {
	m, err := work.Decode(p.Payload())
	if err != nil {
		return
	}
	key := clientPrefix(p.Tuple().Src()) + string(m.Token)
	if m.IsReset() {
		b.cancelRequests(p.Tuple().Src(), m.MessageID)
		return
	}
	if !m.IsRequest() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := messageKey(p.Tuple().Src(), m.MessageID)
	if b.seen[id+string(m.Token)] {
		return
	}
	if len(b.running) >= b.config.Slots {
		b.config.Recorder.recordRefusal(b.config.Name)
		b.sendResponse(p.Tuple(), m, codes.ServiceUnavailable, "no slot", 0)
		return
	}
	b.seen[id+string(m.Token)] = true
	b.config.Recorder.recordExecution(m.Token, b.config.Name)
	duration := b.config.ServiceTime
	if b.config.Now().Sub(b.started) < b.config.Warmup {
		duration *= warmupSlowdown
	}
	if remaining, present := m.TimeLeft(); present {
		duration = min(duration, remaining)
	}
	block, _ := m.Block()
	b.running[key] = time.AfterFunc(duration, func() { b.completeRequest(p.Tuple(), m, key, block) })
}

// clientPrefix returns the part of a key of Backend.running that identifies the
// client, which has one request at a time.
func clientPrefix(client netip.AddrPort) string { return client.String() + "/" }

func messageKey(client netip.AddrPort, id int32) string {
	return client.String() + string([]byte{byte(id >> 8), byte(id)})
}

func (b *Backend) completeRequest(t packet.Tuple, m work.Message, key string, block uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[key] == nil {
		return
	}
	delete(b.running, key)
	text := "done " + string(m.Token)
	if b.config.Blocks > 0 && m.Code == codes.GET {
		text += string(make([]byte, blockBytes-len(text)))
	}
	b.sendResponse(t, m, codes.Content, text, block)
}

// cancelRequests stops the client's request and frees its slot.
func (b *Backend) cancelRequests(client netip.AddrPort, _ int32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, timer := range b.running {
		if strings.HasPrefix(key, clientPrefix(client)) {
			timer.Stop()
			delete(b.running, key)
			b.config.Recorder.recordCancelled()
		}
	}
}

func (b *Backend) sendResponse(t packet.Tuple, m work.Message, code codes.Code, text string, block uint32) {
	answer := work.Message{Message: message.Message{
		Token: m.Token, Code: code, Type: message.NonConfirmable, MessageID: m.MessageID, Payload: []byte(text),
	}}
	if code == codes.Content && b.config.Blocks > 0 && m.Code == codes.GET {
		more := uint32(0)
		if block+1 < b.config.Blocks {
			more = 1 << 3
		}
		answer = answer.WithBlock(block<<4 | more | blockSZX)
	}
	data, err := answer.Encode()
	if err != nil {
		return
	}
	if inner, err := packet.Build(t.Reverse(), packet.Flags{}, 0, 0, data); err == nil {
		b.send(inner)
	}
}
