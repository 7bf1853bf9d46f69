package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/announce"
	"oxbowsaddle/internal/wire"
)

// announceTargets tracks the entries that a control instance announces itself to.
type announceTargets struct {
	now func() time.Time

	mu       sync.Mutex
	schedule announce.Schedule
}

// trackLink records a link to the entry that listens for announcements at address, and
// returns the function that records the end of the link. An invalid address is ignored.
func (a *announceTargets) trackLink(address string) (untrack func()) {
	addr, _ := netip.ParseAddrPort(address)
	a.update(func(now time.Time, s *announce.Schedule) { s.Linked(now, addr) })
	return func() {
		a.update(func(now time.Time, s *announce.Schedule) { s.Unlinked(now, addr) })
	}
}

// update calls change with the schedule while holding the lock.
func (a *announceTargets) update(change func(now time.Time, s *announce.Schedule)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a.now(), &a.schedule)
}

// restore adds the entry addresses that were saved in the hints, and skips invalid ones.
func (a *announceTargets) restore(addresses []string) {
	var all []netip.AddrPort
	for _, address := range addresses {
		if addr, err := netip.ParseAddrPort(address); err == nil {
			all = append(all, addr)
		}
	}
	a.update(func(now time.Time, s *announce.Schedule) { s.Restore(now, all) })
}

// addresses returns the entry addresses to save in the hints.
func (a *announceTargets) addresses() (addresses []string) {
	a.update(func(_ time.Time, s *announce.Schedule) {
		for _, addr := range s.Known() {
			addresses = append(addresses, addr.String())
		}
	})
	return addresses
}

// count returns the number of addresses that addresses returns.
func (a *announceTargets) count() (n int) {
	a.update(func(_ time.Time, s *announce.Schedule) { n = s.Len() })
	return n
}

// revision increases whenever the result of addresses changes.
func (a *announceTargets) revision() (number uint64) {
	a.update(func(_ time.Time, s *announce.Schedule) { number = s.Changes() })
	return number
}

// due returns the entries to send an announcement to now.
func (a *announceTargets) due() (addrs []netip.AddrPort) {
	a.update(func(now time.Time, s *announce.Schedule) { addrs = s.Due(now) })
	return addrs
}

// announceLoop sends announcements to entries that have no link to this instance, until
// the context is done. Without a socket the instance runs on without announcements.
func (c *Control) announceLoop(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.config.PeerAddr.Addr(), 0)))
	if err != nil {
		c.config.Log.Error("cannot announce to entries", "error", err)
		return nil
	}
	defer func() { _ = conn.Close() }()
	datagram, err := proto.Marshal(&wire.ControlInstance{Address: c.config.PeerAddr.String(), Domain: c.config.Domain})
	if err != nil {
		return err
	}
	ticker := time.NewTicker(announce.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, addr := range c.announceTargets.due() {
			_, _ = conn.WriteToUDPAddrPort(datagram, addr) // lost datagrams are repeated
		}
	}
}

// announcementLoop receives announcements of control instances until the context is
// done. If the address is in use, the entry runs on without announcements.
func (e *Entry) announcementLoop(ctx context.Context) error {
	if !e.config.OperatorAddr.IsValid() {
		return nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.config.OperatorAddr))
	if err != nil {
		e.config.Log.Error("cannot listen for announcements", "address", e.config.OperatorAddr, "error", err)
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	raw := make([]byte, maxPacketSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(raw)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			e.handleAnnouncement(ctx, raw[:n])
		}
	}
}

// handleAnnouncement handles one datagram. An announcement is ignored while the entry is linked,
// since control instances are then known from rosters.
func (e *Entry) handleAnnouncement(ctx context.Context, raw []byte) {
	var instance wire.ControlInstance
	addr, err := netip.AddrPort{}, proto.Unmarshal(raw, &instance)
	if err == nil {
		addr, err = netip.ParseAddrPort(instance.Address)
	}
	if err != nil {
		e.announcements.malformed.Add(1)
		return
	}
	e.announcements.received.Add(1)
	if !e.linked() {
		e.manager.handleAnnouncement(ctx, e.config.Now(), addr)
	}
}
