package flow

import (
	"time"

	"oxbowsaddle/internal/route"
)

const (
	// tick is the resolution of the time at which a flow was last seen.
	tick = 100 * time.Millisecond
	// maxFillEighths is the share of slots, in eighths, that may be used.
	maxFillEighths = 7
	// maxOpeningEighths is the share of slots, in eighths, that half-open flows may use.
	maxOpeningEighths = 2
)

// The states of a cached flow.
const (
	stateFree uint8 = iota
	stateOpening
	stateOpen
	stateClosing
)

type (
	// slot is one cached flow; 32 bytes.
	slot struct {
		id       route.FlowID
		endpoint uint32
		lastSeen uint32 // ticks since the table began
		state    uint8
		reported bool // the holders of its bucket know of it
	}

	// flowTable is a hash table of fixed size with linear probing. It never
	// grows, allocates or moves to make room: when it is full, flows are not
	// cached and are decided each time anew.
	flowTable struct {
		slots   []slot
		mask    uint64
		used    int
		opening int
		epoch   time.Time
		cursor  uint64
	}
)

// newFlowTable returns a table for at least limit flows.
func newFlowTable(capacity int, epoch time.Time) *flowTable {
	size := 64
	for size*maxFillEighths/8 < capacity {
		size *= 2
	}
	return &flowTable{slots: make([]slot, size), mask: uint64(size - 1), epoch: epoch}
}

func (t *flowTable) ticks(now time.Time) uint32 { return uint32(now.Sub(t.epoch) / tick) }

// get returns the slot of a flow, or nil.
func (t *flowTable) get(id route.FlowID) *slot {
	for i := id.Low & t.mask; t.slots[i].state != stateFree; i = (i + 1) & t.mask {
		if t.slots[i].id == id {
			return &t.slots[i]
		}
	}
	return nil
}

// put adds a flow or changes its endpoint; nil when there is no room.
func (t *flowTable) put(id route.FlowID, endpoint uint32, state uint8, now time.Time) *slot {
	i := id.Low & t.mask
	for t.slots[i].state != stateFree && t.slots[i].id != id {
		i = (i + 1) & t.mask
	}
	s := &t.slots[i]
	if s.state == stateFree {
		if t.used >= len(t.slots)/8*maxFillEighths || state == stateOpening && t.opening >= len(t.slots)/8*maxOpeningEighths {
			return nil
		}
		t.used++
	} else {
		t.adjustOpening(s.state, -1)
	}
	t.adjustOpening(state, 1)
	*s = slot{id: id, endpoint: endpoint, lastSeen: t.ticks(now), state: state}
	return s
}

func (t *flowTable) adjustOpening(state uint8, n int) {
	if state == stateOpening {
		t.opening += n
	}
}

func (t *flowTable) setState(s *slot, state uint8) {
	t.adjustOpening(s.state, -1)
	t.adjustOpening(state, 1)
	s.state = state
}

// remove frees a flow and moves later ones of its run back.
func (t *flowTable) remove(id route.FlowID) {
	i := id.Low & t.mask
	for t.slots[i].id != id || t.slots[i].state == stateFree {
		if t.slots[i].state == stateFree {
			return
		}
		i = (i + 1) & t.mask
	}
	t.adjustOpening(t.slots[i].state, -1)
	t.used--
	for j := i; ; {
		j = (j + 1) & t.mask
		if t.slots[j].state == stateFree {
			break
		}
		preferred := t.slots[j].id.Low & t.mask
		if (j-preferred)&t.mask >= (j-i)&t.mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot{}
}

// scan calls f for up to n slots in use from where it last stopped and
// reports whether it came round to the start. f returns false to free the slot.
func (t *flowTable) scan(n int, f func(*slot) bool) (wrapped bool) {
	for range n {
		s := &t.slots[t.cursor]
		if s.state != stateFree && !f(s) {
			t.remove(s.id)
			continue // another flow may have moved into the slot
		}
		t.cursor = (t.cursor + 1) & t.mask
		if t.cursor == 0 {
			return true
		}
	}
	return false
}
