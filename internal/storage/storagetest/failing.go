package storagetest

import (
	"errors"
	"sync"
	"time"

	"oxbowsaddle/internal/storage"
)

// ErrFull is returned by every write while the disk is full.
var ErrFull = errors.New("no space left")

// Failing is a data folder whose disk can be made full, slow or stalled. It is
// safe for concurrent use.
type Failing struct {
	open func() (storage.Files, error)

	mu      sync.Mutex
	full    bool
	delay   time.Duration // of each write and sync
	resumed chan struct{} // closed when a stall ends, nil if not stalled
}

// NewFailing returns a folder that passes operations on to the one opened by
// open, until a fault is set.
func NewFailing(open func() (storage.Files, error)) *Failing { return &Failing{open: open} }

// SetFull makes every write fail with ErrFull, or succeed again.
func (f *Failing) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// SetDelay delays each write and each sync.
func (f *Failing) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// Stall blocks every write and sync until resume is called.
func (f *Failing) Stall() (resume func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	resumed := make(chan struct{})
	f.resumed = resumed
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.resumed = nil
		close(resumed)
	})
}

// Files opens the folder.
func (f *Failing) Files() (storage.Files, error) {
	files, err := f.open()
	if err != nil {
		return files, err
	}
	appendTo, create := files.Append, files.Create
	files.Append = func(name string) (*storage.File, error) { return f.wrap(appendTo(name)) }
	files.Create = func(name string) (*storage.File, error) { return f.wrap(create(name)) }
	return files, nil
}

// wrap applies the faults of the disk to an open file.
func (f *Failing) wrap(file *storage.File, err error) (*storage.File, error) {
	if err != nil {
		return nil, err
	}
	write, flush := file.Write, file.Sync
	file.Write = func(data []byte) (int, error) {
		if err := f.awaitDisk(); err != nil {
			return 0, err
		}
		return write(data)
	}
	file.Sync = func() error {
		_ = f.awaitDisk() // a full disk can still sync
		return flush()
	}
	return file, nil
}

// awaitDisk waits while the disk is stalled, then for its delay, and returns
// ErrFull if it is full.
func (f *Failing) awaitDisk() error {
	f.mu.Lock()
	resumed, delay := f.resumed, f.delay
	f.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return ErrFull
	}
	return nil
}
