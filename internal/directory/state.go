package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// restore applies the state of a snapshot.
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

// applyCommand applies the command at a log index.
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

// applyBareDocument applies a document without the enclosing message, which is
// the format of logs and snapshots written before evacuations were supported.
func (d *Directory) applyBareDocument(encoded []byte) error {
	m := &wire.Document{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fault.Wrap(fault.DamagedLog, err)
	}
	return d.applyDocument(m)
}

// applyDocument replaces the document if the version of the new one is higher.
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

// Put proposes a document. It is done at once if its version is not higher than
// that of the document in force; otherwise the caller waits for index in
// Ready.Done. The error is of kind NotCurrent if this instance does not lead, and
// InvalidChange if the document is too large for the log.
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

// Evacuate proposes to evacuate a failure domain or to undo this; its results
// are those of Put. It is done at once if the order is in effect and the whole
// log is applied. Orders take effect in log order, so the last one wins.
func (d *Directory) Evacuate(now time.Time, o evacuation.Order) (index uint64, done bool, err error) {
	if !d.replica.Current(now) {
		return 0, false, fault.New(fault.NotCurrent, "%s does not lead", d.config.Self)
	}
	if d.applied == d.replica.LastIndex() && d.evacuations.Reflects(o) {
		return 0, true, nil
	}
	index, err = d.propose(now, &wire.DirectoryCommand{Evacuation: o.Message()})
	return index, false, err
}

// propose appends a command to the log and returns its index.
func (d *Directory) propose(now time.Time, m *wire.DirectoryCommand) (index uint64, err error) {
	command, err := proto.Marshal(m)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err)
	}
	if len(command) > MaxCommandSize {
		return 0, fault.New(fault.InvalidChange, "the change takes %d bytes in the log, more than %d", len(command), MaxCommandSize)
	}
	if index, err = d.replica.Propose(now, command); err != nil {
		return 0, err
	}
	d.proposals[index] = d.replica.Term()
	return index, nil
}

// Read returns the latest committed document, or nil if there is none. The
// error is of kind NotCurrent if this instance cannot confirm that its document
// is the latest.
func (d *Directory) Read(now time.Time) (*document.Document, error) {
	if !d.replica.Current(now) || d.applied < d.replica.Commit() {
		return nil, fault.New(fault.NotCurrent, "%s cannot confirm that its document is the latest", d.config.Self)
	}
	return d.document, nil
}

// Document returns the document in force at this instance, which may be
// outdated, or nil if there is none.
func (d *Directory) Document() *document.Document { return d.document }

// Evacuations returns the evacuated failure domains known to this instance,
// which may be outdated.
func (d *Directory) Evacuations() *evacuation.Set { return d.evacuations }

// apply applies a committed entry. If this instance proposed at the same index,
// the proposal is done if the terms match; otherwise it was replaced and is
// lost.
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

// Compact discards the applied log and returns the snapshot that replaces it,
// with the hard state and the remaining entries. The snapshot is nil if nothing
// has been applied yet.
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
