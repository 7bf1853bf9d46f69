// Package fault defines the kinds of errors and, for each kind, its name, the
// exit code of a command that fails with it, and what the operator can do next.
package fault

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind is a kind of error.
type Kind int

// The kinds of errors; Internal is also that of errors without a kind.
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
	// Answer describes how a command reports errors of one kind.
	Answer struct {
		name     string
		exitCode int
		nextStep string
	}

	kindKey struct{}
)

// answers holds the answer of every kind.
var answers = [kindCount]Answer{
	Internal:           {"internal", 1, "report this with the log line of the same time"},
	Usage:              {"usage", 2, "run the command with --help"},
	InvalidSettings:    {"invalid settings", 3, "correct each listed field, then run `oxbowsaddle settings check FILE`"},
	InvalidChange:      {"invalid", 4, "correct each listed error and accept again with a new change id"},
	Conflict:           {"conflict", 5, "read the accepted change with `oxbowsaddle status --output json`, then accept again based on its revision"},
	NoQuorum:           {"no quorum", 6, "send the same change id again; it is never applied twice"},
	NotCurrent:         {"not current", 7, "ask another control instance, or wait until this one is connected to a majority again"},
	Unreachable:        {"unreachable", 8, "check the control address and that the instance is running"},
	AddressInUse:       {"address in use", 9, "free the address or set another one in the settings"},
	DataFolder:         {"data folder", 10, "make sure that the data folder is writable and has free space; no accepted change was lost"},
	DamagedLog:         {"damaged log", 11, "move the data folder away and start the instance with an empty one; it catches up from the others"},
	PromiseBroken:      {"promise broken", 12, "the report names the violated guarantee; send it together with the seed"},
	NotFound:           {"not found", 13, "check the name with `oxbowsaddle status`"},
	NeedsConfirmation:  {"needs confirmation", 14, "read the warning; repeat with --confirm if it is meant"},
	HandoverUnfinished: {"handover unfinished", 15, "stop entries one after the other, or raise times.stop_timeout; the second holders serve the remaining flows"},
}

// Name returns the short name of the kind.
func (k Kind) Name() string { return k.Answer().name }

// Answer returns the answer of the kind, or that of Internal if it is unknown.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// ExitCode returns the exit code of a command that fails with this answer.
func (a Answer) ExitCode() int { return a.exitCode }

// NextStep returns what the operator can do next.
func (a Answer) NextStep() string { return a.nextStep }

// New returns an error of the given kind.
func New(k Kind, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithValue(kindKey{}, k))
}

// Wrap returns err with a kind attached; nil stays nil.
func Wrap(k Kind, err error) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey{}, k))
}

// KindOf returns the kind of an error, or Internal if it has none.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey{}).(Kind); ok {
		return k
	}
	return Internal
}

// FromName returns the kind with this name, which replies between processes carry.
func FromName(name string) (Kind, error) {
	for k := range kindCount {
		if answers[k].name == name {
			return k, nil
		}
	}
	return Internal, errors.New("unknown error kind " + name)
}
