package storagetest

import (
	"errors"
	"sync"
	"time"

	"oxbowsaddle/internal/storage"
)

// ErrFull is returned by every write while the disk is full.
var ErrFull = errors.New("no space left")

// Failing is a data folder whose disk can be made full, slow, or made to stand
// still; several goroutines may use it.
type Failing struct {
	open func() (storage.Files, error)

	mu      sync.Mutex
	full    bool
	delay   time.Duration // of each write and sync
	resumed chan struct{} // closed once the disk goes on, nil while it does
}

// NewFailing returns a folder that does what the opened one does, until it is
// told to fail.
func NewFailing(open func() (storage.Files, error)) *Failing { return &Failing{open: open} }

// SetFull makes the disk take no more bytes, or take them again.
func (f *Failing) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// SetDelay makes each write and each sync take so much longer.
func (f *Failing) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// Stall makes every write and sync wait until goOn is called.
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

// wrap makes an open wrap fail as the disk does.
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
		_ = f.awaitDisk() // a full disk still syncs what it has
		return flush()
	}
	return file, nil
}

// awaitDisk waits as long as the disk takes, and then says whether it is full.
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
