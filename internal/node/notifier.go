package node

import "sync"

// notifier wakes everybody who waits for a change.
type notifier struct {
	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}
}

// subscribe returns a channel that holds a value after each change, and what
// ends that.
func (n *notifier) subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers == nil {
		n.subscribers = map[chan struct{}]struct{}{}
	}
	n.subscribers[ch] = struct{}{}
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers, ch)
	}
}

// notify tells every subscriber of a change, without waiting for any.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ch := range n.subscribers {
		select {
		case ch <- struct{}{}:
		default: // it has not looked at the last change yet
		}
	}
}
