package work

import (
	"slices"
	"time"
)

// queue orders the queued requests by priority and deadline. To prevent starvation,
// lower priorities get a share of the grants while a higher one has requests queued.
type queue struct {
	classes             [][]*request // by priority, 0 first; each sorted by deadline
	lowerPriorityCredit float64      // share of a grant that lower priorities have accumulated
}

func (q *queue) len() int {
	n := 0
	for _, c := range q.classes {
		n += len(c)
	}
	return n
}

// ahead returns the number of queued requests of the given priority and above.
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

// next returns the request that gets the next slot, without removing it, among those
// that fit a free slot. share is the part of the grants reserved for lower priorities.
func (q *queue) next(share float64, fits func(*request) bool) *request {
	first := q.firstFitting(0, fits)
	if first == nil {
		return nil
	}
	if q.lowerPriorityCredit+share < 1 {
		return first
	}
	if lower := q.firstFitting(first.class.Priority+1, fits); lower != nil {
		return lower
	}
	return first
}

// recordGrant updates the credit of lower priorities after a grant.
func (q *queue) recordGrant(r *request, share float64) {
	waiting := false
	for p := r.class.Priority + 1; p < len(q.classes); p++ {
		waiting = waiting || len(q.classes[p]) > 0
	}
	switch {
	case waiting:
		q.lowerPriorityCredit += share
	case q.lowerPriorityCredit+share >= 1:
		q.lowerPriorityCredit = 0
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

// last returns the request to displace when the queue is full: the one with the latest
// deadline among those of the lowest priority.
func (q *queue) last() *request {
	for p := len(q.classes) - 1; p >= 0; p-- {
		if n := len(q.classes[p]); n > 0 {
			return q.classes[p][n-1]
		}
	}
	return nil
}
