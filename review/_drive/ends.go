package main

import "sync"

var (
	endsMu sync.Mutex
	ends   []func()
)

// atEnd registers a function that ends what a case has started, should the run be stopped early.
func atEnd(f func()) {
	endsMu.Lock()
	defer endsMu.Unlock()
	ends = append(ends, f)
}

// endAll ends everything that was started.
func endAll() {
	endsMu.Lock()
	defer endsMu.Unlock()
	for _, f := range ends {
		f()
	}
}
