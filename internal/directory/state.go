package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// restore sets the applied index to that of a snapshot and takes what it holds.
func (d *Directory) restore(s *wire.SnapshotFile) error {
	d.applied = s.Index
	if len(s.State) == 0 {
		return nil
	}
	m := &wire.DirectoryState{}
	if err := proto.Unmarshal(s.State, m); err != nil {
		return fault.Wrap(fault.DamagedLog, err)
	}
	if m.Document == nil && m.Evacuations == nil {
		return d.applyBareDocument(s.State)
	}
	if set := evacuation.FromMessage(m.Evacuations); set.Revision() > d.evacuations.Revision() {
		d.evacuations = set
	}
	if m.Document == nil {
		return nil
	}
	return d.applyDocument(m.Document)
}

// applyCommand does what the command at an index of the log says.
func (d *Directory) applyCommand(index uint64, command []byte) error {
	m := &wire.DirectoryCommand{}
	if err := proto.Unmarshal(command, m); err != nil {
		return fault.Wrap(fault.DamagedLog, err)
	}
	switch {
	case m.Evacuation != nil:
		d.evacuations = d.evacuations.With(index, evacuation.OrderFromMessage(m.Evacuation))
		return nil
	case m.Document != nil:
		return d.applyDocument(m.Document)
	default:
		return d.applyBareDocument(command)
	}
}

// applyBareDocument takes a document that stands by itself, as logs and snapshots
// did before evacuations were known.
func (d *Directory) applyBareDocument(encoded []byte) error {
	m := &wire.Document{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fault.Wrap(fault.DamagedLog, err)
	}
	return d.applyDocument(m)
}

// applyDocument puts a document in force if its version is the highest.
func (d *Directory) applyDocument(m *wire.Document) error {
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
	index, err = d.propose(now, &wire.DirectoryCommand{Document: doc.Message()})
	return index, false, err
}

// Evacuate offers an order about a failure domain; its results are as for Put.
// It is done at once where it changes nothing and nothing is under way that may.
// Orders take effect in the order of the log: of two that are acknowledged one
// after the other the second one stands.
func (d *Directory) Evacuate(now time.Time, o evacuation.Order) (index uint64, done bool, err error) {
	if !d.replica.Current(now) {
		return 0, false, fault.New(fault.NotCurrent, "%s does not lead", d.config.Self)
	}
	if d.applied == d.replica.LastIndex() && d.evacuations.Holds(o) {
		return 0, true, nil
	}
	index, err = d.propose(now, &wire.DirectoryCommand{Evacuation: o.Message()})
	return index, false, err
}

// propose has the log take a command, and returns its index.
func (d *Directory) propose(now time.Time, m *wire.DirectoryCommand) (index uint64, err error) {
	command, err := proto.Marshal(m)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err)
	}
	if index, err = d.replica.Propose(now, command); err != nil {
		return 0, err
	}
	d.proposals[index] = d.replica.Term()
	return index, nil
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

// Evacuations returns the evacuated failure domains as far as this instance knows.
func (d *Directory) Evacuations() *evacuation.Set { return d.evacuations }

// apply takes a committed entry and tells ready what became of the proposal
// for it, if this instance made one: an entry of another term took its place
// where the terms differ.
func (d *Directory) apply(e *wire.LogEntry, ready *Ready) error {
	if len(e.Command) > 0 {
		if err := d.applyCommand(e.Index, e.Command); err != nil {
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
	m := &wire.DirectoryState{}
	if d.document != nil {
		m.Document = d.document.Message()
	}
	if d.evacuations != nil {
		m.Evacuations = d.evacuations.Message()
	}
	state, err := proto.Marshal(m)
	if err != nil {
		return nil, nil, nil, fault.Wrap(fault.Internal, err)
	}
	file, hard, after := d.replica.Compact(d.applied, state)
	return file, hard, after, nil
}
