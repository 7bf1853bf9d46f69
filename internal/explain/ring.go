package explain

import (
	"slices"
	"sync"
)

// Ring holds the last decisions, in whatever form their fabric keeps them.
type Ring[T any] struct {
	mu        sync.Mutex
	decisions []T
	next      int // where the next one goes
	count     int // how many there are
}

// NewRing returns a ring of a size.
func NewRing[T any](size int) *Ring[T] { return &Ring[T]{decisions: make([]T, size)} }

// Add keeps a decision and lets the oldest go.
func (r *Ring[T]) Add(d T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next] = d
	r.next = (r.next + 1) % len(r.decisions)
	r.count = min(r.count+1, len(r.decisions))
}

// Find returns the newest decisions that match, at most so many, in the order
// in which they were taken.
func (r *Ring[T]) Find(limit int, match func(T) bool) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matches []T
	for i := 0; i < r.count && len(matches) < limit; i++ {
		d := r.decisions[(r.next-1-i+len(r.decisions))%len(r.decisions)]
		if match(d) {
			matches = append(matches, d)
		}
	}
	slices.Reverse(matches)
	return matches
}
