package flow

import (
	"time"

	"oxbowsaddle/internal/route"
)

const (
	// tick is the resolution of the time at which a flow was last seen.
	tick = 100 * time.Millisecond
	// maxFillEighths is how many eighths of the slots may be used.
	maxFillEighths = 7
	// maxOpeningEighths is how many eighths of the slots half-open flows may use, so
	// that a SYN flood leaves room for open flows.
	maxOpeningEighths = 2
)

// States of a cached flow.
const (
	stateFree uint8 = iota
	stateOpening
	stateOpen
	stateClosing
)

type (
	// slot is a cached flow. It takes 32 bytes.
	slot struct {
		id       route.FlowID
		endpoint uint32
		lastSeen uint32 // ticks since the epoch of the table
		state    uint8
		reported bool // the holders of its bucket have been sent the flow
	}

	// flowTable is a hash table of fixed size with linear probing. It never grows,
	// allocates or moves flows to make room: when it is full, further flows aren't
	// cached, and each of their packets is decided anew.
	flowTable struct {
		slots   []slot
		mask    uint64
		used    int
		opening int       // number of half-open flows
		epoch   time.Time // of slot.lastSeen
		cursor  uint64    // next slot to scan
	}
)

// newFlowTable returns a table for at least capacity flows.
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

// put adds a flow or changes its endpoint. It returns nil if the table is full.
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

// remove deletes a flow and moves later flows of its probe sequence back.
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

// scan calls f for the used ones of the next n slots and reports whether it reached
// the end of the table. A slot is freed if f returns false.
func (t *flowTable) scan(n int, f func(*slot) bool) (wrapped bool) {
	for range n {
		s := &t.slots[t.cursor]
		if s.state != stateFree && !f(s) {
			t.remove(s.id)
			continue // another flow may have been moved into this slot
		}
		t.cursor = (t.cursor + 1) & t.mask
		if t.cursor == 0 {
			return true
		}
	}
	return false
}
