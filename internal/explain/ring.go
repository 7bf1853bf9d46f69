package explain

import (
	"slices"
	"sync"
)

// Ring is a buffer of the most recent decisions. It is safe for concurrent use.
type Ring[T any] struct {
	mu        sync.Mutex
	decisions []T
	next      int // position of the next decision
	count     int // number of decisions held
}

// NewRing returns an empty ring that holds up to size decisions.
func NewRing[T any](size int) *Ring[T] { return &Ring[T]{decisions: make([]T, size)} }

// Add adds a decision, replacing the oldest one if the ring is full.
func (r *Ring[T]) Add(d T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next] = d
	r.next = (r.next + 1) % len(r.decisions)
	r.count = min(r.count+1, len(r.decisions))
}

// Find returns the newest matching decisions, at most limit of them, oldest first.
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
