package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// restore sets the applied index to that of a snapshot and takes the document
// that it holds, if it holds one.
func (d *Directory) restore(s *wire.SnapshotFile) error {
	d.applied = s.Index
	if len(s.State) == 0 {
		return nil
	}
	return d.take(s.State)
}

// take puts an encoded document in force if its version is the highest.
func (d *Directory) take(command []byte) error {
	m := &wire.Document{}
	if err := proto.Unmarshal(command, m); err != nil {
		return fault.Wrap(fault.DamagedLog, err)
	}
	if d.document != nil && m.Version <= d.document.Version() {
		return nil
	}
	doc, err := document.FromMessage(m)
	if err != nil {
		return fault.Wrap(fault.DamagedLog, err)
	}
	d.document = doc
	return nil
}

// Put offers a document. It is done at once where its version is not above
// the one in force; else index tells which proposal to wait for. An error
// where this instance does not lead is of kind NotCurrent.
func (d *Directory) Put(now time.Time, doc *document.Document) (index uint64, done bool, err error) {
	if !d.replica.Current(now) {
		return 0, false, fault.New(fault.NotCurrent, "%s does not lead", d.config.Self)
	}
	if d.document != nil && doc.Version() <= d.document.Version() {
		return 0, true, nil
	}
	command, err := proto.Marshal(doc.Message())
	if err != nil {
		return 0, false, fault.Wrap(fault.Internal, err)
	}
	if index, err = d.replica.Propose(now, command); err != nil {
		return 0, false, err
	}
	d.proposals[index] = d.replica.Term()
	return index, false, nil
}

// Read returns the document in force, if this instance can show that there is
// no newer one; nil is that there was none yet. An error is of kind NotCurrent.
func (d *Directory) Read(now time.Time) (*document.Document, error) {
	if !d.replica.Current(now) || d.applied < d.replica.Commit() {
		return nil, fault.New(fault.NotCurrent, "%s cannot show that it holds the newest", d.config.Self)
	}
	return d.document, nil
}

// Document returns the document in force as far as this instance knows, nil
// where there is none.
func (d *Directory) Document() *document.Document { return d.document }

// apply takes a committed entry and tells ready what became of the proposal
// for it, if this instance made one: an entry of another term took its place
// where the terms differ.
func (d *Directory) apply(e *wire.LogEntry, ready *Ready) error {
	if len(e.Command) > 0 {
		if err := d.take(e.Command); err != nil {
			return err
		}
	}
	d.applied = e.Index
	if term, ok := d.proposals[e.Index]; ok {
		delete(d.proposals, e.Index)
		if term == e.Term {
			ready.Done = append(ready.Done, e.Index)
		} else {
			ready.Lost = append(ready.Lost, e.Index)
		}
	}
	return nil
}

// Compact returns what a snapshot at the applied index holds, with the log
// that goes on after it; a nil file is that nothing was applied yet.
func (d *Directory) Compact() (*wire.SnapshotFile, *wire.HardState, []*wire.LogEntry, error) {
	if d.applied == 0 {
		return nil, nil, nil, nil
	}
	var state []byte
	if d.document != nil {
		var err error
		if state, err = proto.Marshal(d.document.Message()); err != nil {
			return nil, nil, nil, fault.Wrap(fault.Internal, err)
		}
	}
	file, hard, after := d.replica.Compact(d.applied, state)
	return file, hard, after, nil
}
