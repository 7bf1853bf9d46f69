// Package control implements the state machine of the replicated log: the
// operators' document, the live entry instances and the route table. It is
// deterministic: applying the same commands in the same order gives the same
// state on every instance. It must not depend on the clock, random numbers or
// map order.
package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dchest/siphash"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// outcomeLimit is the number of change IDs kept to detect resent changes.
	outcomeLimit = 20000
	// historyLimit is the number of changes kept to be shown and reverted.
	historyLimit = 500
)

// The outcomes of a change.
const (
	Accepted          Outcome = "accepted"
	AlreadyAccepted   Outcome = "already accepted"
	Conflict          Outcome = "conflict"
	Invalid           Outcome = "invalid"
	NeedsConfirmation Outcome = "needs confirmation"
)

type (
	// Outcome is the result of a change; it is one of the constants above.
	Outcome string

	// Answer is the outcome of a change with its details.
	Answer struct {
		Outcome  Outcome
		Revision uint64
		Detail   string
		Faults   []string
	}

	objectKey struct {
		kind, name string
	}

	// leavingEndpoint is an endpoint that takes no new work.
	leavingEndpoint struct {
		since   time.Time
		removed bool // no longer listed by the document
	}

	// State is the control state. It is not safe for concurrent use, but its
	// Table and Document are immutable.
	State struct {
		index            uint64
		revision         uint64
		checksum         uint64
		table            *route.Table
		document         intent.Document
		objects          map[objectKey]*wire.StoredObject
		outcomes         map[string]*wire.Outcome
		outcomeOrder     []string // change IDs, oldest first
		history          []*wire.HistoryEntry
		leavingEndpoints map[uint32]leavingEndpoint
		services         map[string]uint32 // IDs by name
		nextEndpointID   uint32
		nextServiceID    uint32
	}
)

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		table:            route.Empty(),
		document:         intent.NewDocument(),
		objects:          map[objectKey]*wire.StoredObject{},
		outcomes:         map[string]*wire.Outcome{},
		leavingEndpoints: map[uint32]leavingEndpoint{},
		services:         map[string]uint32{},
		nextEndpointID:   1,
		nextServiceID:    1,
	}
}

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Revision returns the index of the last accepted change.
func (s *State) Revision() uint64 { return s.revision }

// Checksum returns a hash over all applied commands. If it differs between two
// instances at the same index, their logs differ.
func (s *State) Checksum() uint64 { return s.checksum }

// Table returns the immutable route table.
func (s *State) Table() *route.Table { return s.table }

// Document returns the operators' document; it must not be changed.
func (s *State) Document() intent.Document { return s.document }

// History returns the latest accepted changes, oldest first.
func (s *State) History() []*wire.HistoryEntry { return s.history }

// LeavingSince returns when an endpoint started leaving, and false if it is not
// leaving.
func (s *State) LeavingSince(endpoint uint32) (time.Time, bool) {
	l, ok := s.leavingEndpoints[endpoint]
	return l.since, ok
}

// Apply applies one committed command. It fails unless index directly follows
// the last applied one.
func (s *State) Apply(index uint64, command []byte) (Answer, error) {
	if index != s.index+1 {
		return Answer{}, fault.New(fault.Internal, "cannot apply index %d after %d", index, s.index)
	}
	c := &wire.Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return Answer{}, fault.Wrap(fault.DamagedLog, fmt.Errorf("command at index %d: %w", index, err))
	}
	s.index = index
	s.checksum = chainChecksum(s.checksum, index, command)
	b := route.NewBuilder(s.table, index)
	answer := s.applyBody(b, c)
	s.table = b.Table()
	return answer, nil
}

// chainChecksum extends a checksum by the command at an index.
func chainChecksum(sum, index uint64, command []byte) uint64 {
	return siphash.Hash(sum, index, command)
}

func (s *State) applyBody(b *route.Builder, c *wire.Command) Answer {
	if change := c.GetChange(); change != nil {
		return s.applyChange(b, time.Unix(0, c.UnixNano), change)
	}
	s.applyDecision(b, c)
	return Answer{Outcome: Accepted, Revision: s.revision}
}

// applyDecision applies a decision of the controller.
func (s *State) applyDecision(b *route.Builder, c *wire.Command) {
	switch body := c.Body.(type) {
	case *wire.Command_Moves:
		for _, m := range body.Moves.Moves {
			b.Move(m.Service, m.Bucket, m.Endpoint)
		}
	case *wire.Command_Settle:
		for _, bucket := range body.Settle.Buckets {
			b.Settle(body.Settle.Service, bucket)
		}
		s.deleteRemovedEndpoints(b)
	case *wire.Command_Flip:
		for _, bucket := range body.Flip.Buckets {
			b.Flip(body.Flip.Service, bucket)
		}
	case *wire.Command_Reopen:
		for _, bucket := range body.Reopen.Buckets {
			b.Reopen(body.Reopen.Service, bucket)
		}
	case *wire.Command_Members:
		s.applyMembers(b, body.Members)
	case *wire.Command_Suspect:
		applySuspect(b, body.Suspect)
	}
}

func (s *State) applyMembers(b *route.Builder, change *wire.Members) {
	for _, m := range change.Joined {
		joined := s.index
		if old, listed := b.Table().Member(m.Name); listed && old.Incarnation() == m.Incarnation {
			joined = old.JoinedAt()
		}
		b.PutMember(route.NewMember(m.Name, m.Domain, m.Incarnation, m.Leaving, joined))
	}
	for _, name := range change.Left {
		b.RemoveFailedMember(name)
	}
	for _, name := range change.Stopped {
		b.RemoveMember(name)
	}
}

// applySuspect sets or clears the partition mark of a failure domain.
func applySuspect(b *route.Builder, m *wire.Suspect) {
	switch {
	case m.Cleared:
		b.ClearMarks(m.Domain)
	case m.Lost:
		b.MarkReturnedWithLoss(m.Domain)
	case m.Returned:
		b.MarkReturned(m.Domain)
	default:
		b.MarkPartitioned(m.Domain)
	}
}

// Preview returns the answer that a change would get now, without applying it.
func (s *State) Preview(change *wire.Change) Answer {
	answer, _ := s.preview(change)
	return answer
}

func (s *State) preview(change *wire.Change) (Answer, intent.Document) {
	if o, ok := s.outcomes[change.Id]; ok {
		return Answer{Outcome: AlreadyAccepted, Revision: o.Revision, Detail: o.Detail}, s.document
	}
	if a, conflicts := s.conflict(change); conflicts {
		return a, s.document
	}
	next, faults := s.applyEdits(change)
	services := affected(change, s.document, next)
	faults = append(faults, s.addressConflicts(next, services)...)
	if len(faults) > 0 {
		return Answer{Outcome: Invalid, Faults: faults, Detail: fmt.Sprintf("%d faults", len(faults))}, next
	}
	if warnings := intent.Warnings(s.document, next, slices.Sorted(maps.Keys(services))); len(warnings) > 0 && !change.Confirmed {
		return Answer{Outcome: NeedsConfirmation, Faults: faultTexts(warnings), Detail: "a service would be emptied"}, next
	}
	return Answer{Outcome: Accepted}, next
}

func (s *State) applyChange(b *route.Builder, now time.Time, change *wire.Change) Answer {
	answer, next := s.preview(change)
	if answer.Outcome != Accepted {
		return answer // not recorded, so that a corrected change can be sent with the same ID
	}
	s.recordChange(now, change)
	before := s.document
	s.document = next
	s.compile(b, now, affected(change, before, next))
	answer.Revision = s.revision
	return answer
}

// conflict finds the first object that another change modified after the base
// revision.
func (s *State) conflict(change *wire.Change) (Answer, bool) {
	for _, o := range change.Objects {
		stored, ok := s.objects[objectKey{o.Kind, o.Name}]
		if !ok || stored.Revision <= change.Base {
			continue
		}
		detail := fmt.Sprintf("%s %s is at revision %d by %s (change %s), your base is %d; %s",
			o.Kind, o.Name, stored.Revision, stored.Author, stored.ChangeId, change.Base,
			intent.Difference(stored.Object.Body, o.Body))
		return Answer{Outcome: Conflict, Revision: stored.Revision, Detail: detail}, true
	}
	return Answer{}, false
}

// applyEdits returns a copy of the document with the change applied, and the
// faults of the result.
func (s *State) applyEdits(change *wire.Change) (intent.Document, []string) {
	next := s.document.Clone()
	var faults []string
	if change.Id == "" || len(change.Objects) == 0 {
		faults = append(faults, "a change needs an id and at least one object")
	}
	for _, o := range change.Objects {
		var err error
		if o.Remove {
			err = next.Remove(o.Kind, o.Name)
		} else {
			err = next.Put(o.Kind, o.Name, o.Body)
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s %s: %s", o.Kind, o.Name, err))
		}
	}
	return next, append(faults, faultTexts(checkTouched(change, next))...)
}

// checkTouched checks the objects of a change and those that refer to them. All
// others were checked when they were accepted.
func checkTouched(change *wire.Change, next intent.Document) []intent.Fault {
	templates, services, teams := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, o := range change.Objects {
		switch o.Kind {
		case intent.KindTemplate:
			templates[o.Name] = true
			for _, team := range next.TeamsOf(o.Name) {
				teams[team] = true
			}
		case intent.KindService:
			services[o.Name] = true
			if team, ok := next.TeamOf(o.Name); ok {
				teams[team] = true
			}
		case intent.KindTeam:
			teams[o.Name] = true
		}
	}
	sorted := func(names map[string]bool) []string { return slices.Sorted(maps.Keys(names)) }
	return next.CheckObjects(sorted(templates), sorted(services), sorted(teams))
}

func faultTexts(faults []intent.Fault) []string {
	var lines []string
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return lines
}

// recordChange updates the outcomes, the history and the stored objects.
func (s *State) recordChange(now time.Time, change *wire.Change) {
	s.revision = s.index
	s.recordOutcome(&wire.Outcome{ChangeId: change.Id, Kind: string(Accepted), Revision: s.revision})
	entry := &wire.HistoryEntry{Revision: s.revision, UnixNano: now.UnixNano(), Change: change}
	for _, o := range change.Objects {
		key := objectKey{o.Kind, o.Name}
		before := &wire.Object{Kind: o.Kind, Name: o.Name, Remove: true}
		if previous := s.objects[key]; previous != nil {
			before = previous.Object
		}
		entry.Before = append(entry.Before, before)
		if o.Remove {
			delete(s.objects, key)
			continue
		}
		s.objects[key] = &wire.StoredObject{Object: o, Revision: s.revision, Author: change.Author, ChangeId: change.Id}
	}
	s.history = append(s.history, entry)
	if len(s.history) > historyLimit {
		s.history = s.history[len(s.history)-historyLimit:]
	}
}

func (s *State) recordOutcome(o *wire.Outcome) {
	s.outcomes[o.ChangeId] = o
	s.outcomeOrder = append(s.outcomeOrder, o.ChangeId)
	if len(s.outcomeOrder) > outcomeLimit {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// affected returns the services whose entries in the table may change.
func affected(change *wire.Change, before, after intent.Document) map[string]bool {
	names := map[string]bool{}
	for _, o := range change.Objects {
		switch o.Kind {
		case intent.KindService:
			names[o.Name] = true
		case intent.KindTeam:
			addTeamServices(names, before, o.Name)
			addTeamServices(names, after, o.Name)
		case intent.KindTemplate:
			for _, team := range after.TeamsOf(o.Name) {
				addTeamServices(names, after, team)
			}
		}
	}
	return names
}

func addTeamServices(names map[string]bool, d intent.Document, team string) {
	t, _ := d.Team(team)
	for _, s := range t.Services {
		names[s] = true
	}
}
