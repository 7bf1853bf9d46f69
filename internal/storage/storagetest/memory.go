// Package storagetest provides data folders with simulated disk faults.
package storagetest

import (
	"bytes"
	"errors"
	"os"

	"oxbowsaddle/internal/storage"
)

// Memory is a data folder in memory that loses unsynced data in a simulated
// crash.
type Memory struct {
	synced    map[string][]byte // contents that survive a crash
	current   map[string][]byte // contents seen by readers
	stepsLeft int               // writes and syncs until the crash, negative for no crash
	crashed   bool
}

// ErrCrashed is returned by the write or sync that crashes and those after it.
var ErrCrashed = errors.New("crashed")

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{synced: map[string][]byte{}, current: map[string][]byte{}, stepsLeft: -1}
}

// CrashAfter makes the folder crash after the given number of writes and
// syncs; a negative number cancels the crash.
func (m *Memory) CrashAfter(steps int) { m.stepsLeft = steps }

// Crashed reports whether the folder has crashed.
func (m *Memory) Crashed() bool { return m.crashed }

// Restart makes the folder usable again with its synced contents. Up to keep
// bytes of unsynced appended data survive as a torn write.
func (m *Memory) Restart(keep int) {
	for name, data := range m.current {
		base := m.synced[name]
		if _, known := m.synced[name]; !known {
			delete(m.current, name)
			continue
		}
		if bytes.HasPrefix(data, base) {
			base = data[:min(len(data), len(base)+keep)]
		}
		m.current[name] = append([]byte(nil), base...)
	}
	for name, data := range m.synced {
		if _, there := m.current[name]; !there {
			m.current[name] = append([]byte(nil), data...)
		}
	}
	m.crashed, m.stepsLeft = false, -1
}

// Corrupt flips one byte of a file.
func (m *Memory) Corrupt(name string, at int) {
	m.current[name][at] ^= 0x55
	m.synced[name] = append([]byte(nil), m.current[name]...)
}

// Put sets the synced contents of a file.
func (m *Memory) Put(name string, data []byte) {
	m.current[name] = data
	m.synced[name] = append([]byte(nil), data...)
}

// Bytes returns the current contents of a file.
func (m *Memory) Bytes(name string) []byte { return m.current[name] }

// countStep counts one write or sync, and crashes when none are left.
func (m *Memory) countStep() error {
	if m.crashed {
		return ErrCrashed
	}
	if m.stepsLeft == 0 {
		m.crashed = true
		return ErrCrashed
	}
	if m.stepsLeft > 0 {
		m.stepsLeft--
	}
	return nil
}

// Files returns the operations of the folder.
func (m *Memory) Files() storage.Files {
	return storage.Files{
		Read: func(name string) ([]byte, error) {
			data, ok := m.current[name]
			if !ok {
				return nil, os.ErrNotExist
			}
			return append([]byte(nil), data...), nil
		},
		Append: func(name string) (*storage.File, error) {
			if _, ok := m.current[name]; !ok {
				m.current[name] = nil
			}
			return m.file(name), nil
		},
		Create: func(name string) (*storage.File, error) {
			m.current[name] = nil
			return m.file(name), nil
		},
		Rename: func(from, to string) error {
			if err := m.countStep(); err != nil {
				return err
			}
			m.current[to] = m.current[from]
			delete(m.current, from)
			// The rename becomes durable with SyncDir; a crash before keeps the old file.
			return nil
		},
		Remove: func(name string) error {
			delete(m.current, name)
			return nil
		},
		SyncDir: func() error {
			if err := m.countStep(); err != nil {
				return err
			}
			for name, data := range m.current {
				m.synced[name] = append([]byte(nil), data...)
			}
			return nil
		},
	}
}

func (m *Memory) file(name string) *storage.File {
	return &storage.File{
		Write: func(data []byte) (int, error) {
			m.current[name] = append(m.current[name], data...)
			if err := m.countStep(); err != nil {
				return 0, err
			}
			return len(data), nil
		},
		Sync: func() error {
			if err := m.countStep(); err != nil {
				return err
			}
			m.synced[name] = append([]byte(nil), m.current[name]...)
			return nil
		},
		Truncate: func(size int64) error {
			m.current[name] = m.current[name][:size]
			return nil
		},
		Close: func() error { return nil },
	}
}
