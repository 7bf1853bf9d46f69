package node

import "sync"

// notifier notifies subscribers of changes. Its zero value is ready to use.
type notifier struct {
	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}
}

// subscribe returns a channel that receives a value after changes, and the function that ends
// the subscription.
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

// notify notifies every subscriber without blocking.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ch := range n.subscribers {
		select {
		case ch <- struct{}{}:
		default: // the previous notification is still pending
		}
	}
}
