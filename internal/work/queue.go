package work

import (
	"slices"
	"time"
)

// queue orders waiting requests by class and deadline. The first class goes
// first, but for a share of the grants that the later ones get while it waits,
// so that no class starves.
type queue struct {
	classes [][]*request // by priority; each by deadline
	credit  float64      // of the later classes
}

func (q *queue) len() int {
	n := 0
	for _, c := range q.classes {
		n += len(c)
	}
	return n
}

// ahead returns how many requests go before a new one of a priority.
func (q *queue) ahead(priority int) int {
	n := 0
	for p := range min(priority+1, len(q.classes)) {
		n += len(q.classes[p])
	}
	return n
}

func (q *queue) push(r *request) {
	p := r.class.Priority
	for len(q.classes) <= p {
		q.classes = append(q.classes, nil)
	}
	i, _ := slices.BinarySearchFunc(q.classes[p], r.deadline, func(other *request, d time.Time) int { return other.deadline.Compare(d) })
	q.classes[p] = slices.Insert(q.classes[p], i, r)
}

func (q *queue) remove(r *request) {
	p := r.class.Priority
	if p < len(q.classes) {
		q.classes[p] = slices.DeleteFunc(q.classes[p], func(o *request) bool { return o == r })
	}
}

// next returns the request that gets the next slot, without taking it.
// The share is the part of grants for later classes while an earlier waits.
func (q *queue) next(share float64, fits func(*request) bool) *request {
	first := q.firstFitting(0, fits)
	if first == nil {
		return nil
	}
	if q.credit+share < 1 {
		return first
	}
	if later := q.firstFitting(first.class.Priority+1, fits); later != nil {
		return later
	}
	return first
}

// granted books a grant for the floor of the later classes.
func (q *queue) granted(r *request, share float64) {
	waiting := false
	for p := r.class.Priority + 1; p < len(q.classes); p++ {
		waiting = waiting || len(q.classes[p]) > 0
	}
	switch {
	case waiting:
		q.credit += share
	case q.credit+share >= 1:
		q.credit = 0
	}
}

func (q *queue) firstFitting(from int, fits func(*request) bool) *request {
	for p := from; p < len(q.classes); p++ {
		for _, r := range q.classes[p] {
			if fits(r) {
				return r
			}
		}
	}
	return nil
}

// last returns the request that is displaced when the queue is full: of the
// lowest class the one with the latest deadline.
func (q *queue) last() *request {
	for p := len(q.classes) - 1; p >= 0; p-- {
		if n := len(q.classes[p]); n > 0 {
			return q.classes[p][n-1]
		}
	}
	return nil
}
