// Package fault holds the closed list of error kinds and the table from each
// kind to its answer: exit code, what a caller of the service is told, and
// what the operator can do next.
package fault

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind is one of the closed list of error kinds.
type Kind int

// The closed list of kinds.
const (
	Internal Kind = iota
	Usage
	InvalidSettings
	InvalidChange
	Conflict
	NoQuorum
	NotCurrent
	Unreachable
	AddressInUse
	DataFolder
	DamagedLog
	PromiseBroken
	NotFound
	NeedsConfirmation
	HandoverUnfinished
	kindCount
)

type (
	// Answer says how one kind is answered.
	Answer struct {
		name     string
		exitCode int
		nextStep string
	}

	kindKey struct{}
)

// answers is the table from kind to answer; every kind has a row.
var answers = [kindCount]Answer{
	Internal:           {"internal", 1, "report this with the log line of the same time"},
	Usage:              {"usage", 2, "run the command with --help"},
	InvalidSettings:    {"invalid settings", 3, "mend each listed field, then run `oxbowsaddle settings check FILE`"},
	InvalidChange:      {"invalid", 4, "mend each listed fault and accept again with a new change id"},
	Conflict:           {"conflict", 5, "read the winner with `oxbowsaddle status --output json`, then accept again on its revision"},
	NoQuorum:           {"no quorum", 6, "send the same change id again; it is never applied twice"},
	NotCurrent:         {"not current", 7, "ask another control instance, or wait until this one hears a majority again"},
	Unreachable:        {"unreachable", 8, "check the control address and that the instance runs"},
	AddressInUse:       {"address in use", 9, "free the address or name another one in the settings"},
	DataFolder:         {"data folder", 10, "make the data folder writable and leave it free space; nothing accepted was lost"},
	DamagedLog:         {"damaged log", 11, "move the data folder away and start the instance empty; it is caught up by the others"},
	PromiseBroken:      {"promise broken", 12, "the report names the promise; keep the seed and report it"},
	NotFound:           {"not found", 13, "check the name with `oxbowsaddle status`"},
	NeedsConfirmation:  {"needs confirmation", 14, "read the warning; repeat with --confirm if it is meant"},
	HandoverUnfinished: {"handover unfinished", 15, "stop entries one after the other, or raise times.stop_timeout; the second holders serve what was left"},
}

// Name returns the short name of the kind.
func (kind Kind) Name() string { return kind.Answer().name }

// Answer returns the row of the table for the kind.
func (kind Kind) Answer() Answer {
	if kind < 0 || kind >= kindCount {
		return answers[Internal]
	}
	return answers[kind]
}

// ExitCode returns the exit code of a command that ends with this answer.
func (a Answer) ExitCode() int { return a.exitCode }

// NextStep returns what the operator can do.
func (a Answer) NextStep() string { return a.nextStep }

// New returns an error of the given kind.
func New(k Kind, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithValue(kindKey{}, k))
}

// Wrap gives an error a kind; nil stays nil.
func Wrap(k Kind, err error) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey{}, k))
}

// KindOf returns the kind of an error, or Internal where it has none.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey{}).(Kind); ok {
		return k
	}
	return Internal
}

// FromName returns the kind with this name, as carried between processes.
func FromName(name string) (Kind, error) {
	for k := range kindCount {
		if answers[k].name == name {
			return k, nil
		}
	}
	return Internal, errors.New("unknown kind " + name)
}
