package cmd

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connsPart is the part of the descriptors that connections of callers may take: the
// others are for links, without which an instance can acknowledge nothing.
const connsPart = 2

// openConns bounds the connections that a server keeps open for callers. After a loss of
// all instances the first one that is back is called by everybody; the connection that
// has rested longest makes room for a new one, so that its caller turns elsewhere.
type openConns struct {
	most int // 0 is no bound

	mu      sync.Mutex
	open    int
	resting *list.List // of net.Conn, the longest at rest first
	places  map[net.Conn]*list.Element
}

// newOpenConns returns the bound of a process that may have so many descriptors, 0 for
// no limit.
func newOpenConns(descriptors int) *openConns {
	return &openConns{most: descriptors / connsPart, resting: list.New(), places: map[net.Conn]*list.Element{}}
}

// note takes what became of a connection; it is called by the server.
func (o *openConns) note(conn net.Conn, state http.ConnState) {
	if evicted := o.settle(conn, state); evicted != nil {
		_ = evicted.Close() // the server notes the end of it
	}
}

// settle keeps the books, and returns the connection that has to end, nil for none.
func (o *openConns) settle(conn net.Conn, state http.ConnState) net.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wake(conn)
	switch state {
	case http.StateNew:
		o.open++
		if first := o.resting.Front(); o.most > 0 && o.open > o.most && first != nil {
			evicted := first.Value.(net.Conn)
			o.wake(evicted)
			return evicted
		}
	case http.StateIdle:
		o.places[conn] = o.resting.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		o.open--
	case http.StateActive:
	}
	return nil
}

// wake takes a connection off the list of those at rest.
func (o *openConns) wake(conn net.Conn) {
	if place := o.places[conn]; place != nil {
		o.resting.Remove(place)
		delete(o.places, conn)
	}
}
