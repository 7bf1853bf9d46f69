package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leaveDelay is when the bytes of the first leave arrive: TCP sends them again after 0.2, 0.6, 1.4,
// 3.0 and 6.2 s, and the cut lasts cutTime.
const leaveDelay = 6200 * time.Millisecond

// lateLeave: an endpoint is replaced in place, as planned, under its id, while it is cut off from
// control. Its leave is held up by the cut, and arrives after the new start has said that it
// leaves, too. The new start serves on; its open flows must not be reset by the system.
func lateLeave(b *lab, trouble bool) (int, error) {
	zones := []string{"plateau", "almadies", "diamniadio"}
	b.addMachines(3, 3, zones)
	if err := b.startAll(zones, 8); err != nil {
		return unable, err
	}
	for i := range 7 {
		if err := b.addEndpoint(i+1, "booking", zones[i%3]).start(); err != nil {
			return unable, err
		}
	}
	if b.order("PUT", "/v1/config", b.config(1, map[uint16]string{443: "booking"}), 15*time.Second) != 200 || !b.ready(15*time.Second) {
		return unable, errors.New("the deployment does not start")
	}
	time.Sleep(4 * time.Second)
	var users sync.WaitGroup
	var answered, failed atomic.Int64
	stop := time.Now().Add(22 * time.Second)
	// A request, a pause of 5 s, and another request.
	user := func(n int) {
		f, result := b.clients[n%len(b.clients)].dial(netip.AddrPortFrom(netip.MustParseAddr(b.ip(9, 1)), 443))
		for i, pause := range []time.Duration{0, 5 * time.Second} {
			if result != "open" && !strings.HasPrefix(result, "answer") {
				break
			}
			time.Sleep(pause)
			id := fmt.Sprintf("q%d-%d", n, i)
			result = f.request(id, 2*time.Second)
			b.record.add("request %s on the flow of %s: %s", id, f.key.src, result)
		}
		if strings.HasPrefix(result, "answer") {
			answered.Add(1)
		} else {
			failed.Add(1)
		}
		f.finish()
	}
	users.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			users.Go(func() { user(n) })
			time.Sleep(10 * time.Millisecond)
		}
	})
	e, x := b.endpoints[0], b.controls[1]
	if !e.current().drain() {
		return unable, errors.New("the drain is not acknowledged")
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	if trouble {
		e.setCut(true)
	} else {
		b.record.add("leave of %s to %s: %d", e.id, x.name, b.call(b.ctx, "DELETE", x, "/v1/instances/"+e.id, nil))
	}
	sent := time.Now()
	time.Sleep(2 * time.Second) // no acknowledgement: it ends all the same
	e.crash()
	time.Sleep(500 * time.Millisecond)
	if err := e.start(); err != nil {
		return unable, err
	}
	if trouble {
		time.Sleep(time.Until(sent.Add(cutTime)))
		e.setCut(false)
	}
	time.Sleep(time.Until(sent.Add(leaveDelay - 200*time.Millisecond)))
	if !e.current().drain() {
		return unable, errors.New("the second drain is not acknowledged")
	}
	b.record.add("%s says again that it leaves, which is acknowledged", e.id)
	if trouble {
		time.Sleep(time.Until(sent.Add(leaveDelay)))
		if err := b.deliverLeave(x, e); err != nil {
			return unable, err
		}
	}
	users.Wait()
	return b.judgeFlows(&answered, &failed)
}

// deliverLeave delivers the bytes that the cut held up. Their sender has ended, so the end of the
// connection follows them.
func (b *lab) deliverLeave(c *process, e *endpoint) error {
	conn, err := net.DialTimeout("tcp", c.control, time.Second)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "DELETE /v1/instances/%s HTTP/1.1\r\nHost: %s\r\n\r\n", e.id, c.control)
	b.record.add("the leave of the first start of %s arrives at %s", e.id, c.name)
	return errors.Join(err, conn.Close())
}
