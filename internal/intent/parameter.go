package intent

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Kinds of parameter values.
const (
	Ratio ParameterKind = iota
	Count
	Duration
)

type (
	// ParameterKind is the type of a parameter's value.
	ParameterKind int

	// ParameterSpec describes a parameter that templates may narrow and teams may set.
	// Durations are in seconds.
	ParameterSpec struct {
		Name         string
		Kind         ParameterKind
		Min, Max     float64
		DefaultValue float64
		Doc          string
	}

	// Parameter is a template's default and bounds of a parameter. A nil field means that
	// the value in ParameterSpec applies.
	Parameter struct {
		Default *Value `json:"default,omitempty"`
		Min     *Value `json:"min,omitempty"`
		Max     *Value `json:"max,omitempty"`
	}

	// Value is a number, or a duration such as "30s", which is stored in seconds.
	Value struct {
		number   float64
		duration bool
	}
)

// Names of the parameters.
const (
	Balance       = "balance"
	Idle          = "idle"
	DrainDeadline = "drain_deadline"
	RequestLife   = "request_life"
	QueueLimit    = "queue_limit"
	LowestShare   = "lowest_share"
	RetryShare    = "retry_share"
)

// specs lists all parameters.
var specs = []ParameterSpec{
	{Balance, Ratio, 0, 1, 0.5, "how readily buckets move to balance load: 0 never moves a bucket for balance, 1 moves at a small imbalance"},
	{Idle, Duration, 1, 86400, 600, "idle timeout: a flow without packets for this long has ended"},
	{DrainDeadline, Duration, 1, 604800, 7200, "how long a leaving backend server keeps its flows at most"},
	{RequestLife, Duration, 1, 300, 30, "longest lifetime of a request, including all its retransmissions"},
	{QueueLimit, Count, 1, 100000, 500, "maximum number of requests waiting for a slot"},
	{LowestShare, Ratio, 0, 0.5, 0.1, "minimum share of the slots for lower classes while a higher class has requests waiting"},
	{RetryShare, Ratio, 0, 1, 0.1, "maximum retries as a share of first attempts, for repeatable requests"},
}

// Specs returns all parameters. The slice must not be changed.
func Specs() []ParameterSpec { return specs }

func findSpec(name string) (ParameterSpec, bool) {
	for _, s := range specs {
		if s.Name == name {
			return s, true
		}
	}
	return ParameterSpec{}, false
}

// Number returns the value as a number; durations are in seconds.
func (v Value) Number() float64 { return v.number }

// UnmarshalJSON reads a number or a duration.
func (v *Value) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var s string
		if err := json.Unmarshal(data, &s); err != nil {
			return err
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("%q is not a duration", s)
		}
		*v = Value{d.Seconds(), true}
		return nil
	}
	n, err := strconv.ParseFloat(string(data), 64)
	if err != nil {
		return fmt.Errorf("%s is not a number or a duration", data)
	}
	*v = Value{n, false}
	return nil
}

// MarshalJSON writes the value as a number or a duration, whichever it was read from.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.duration {
		return json.Marshal(time.Duration(v.number * float64(time.Second)).String())
	}
	return json.Marshal(v.number)
}

// check describes what is wrong with a value of the parameter, "" if nothing.
func (s ParameterSpec) check(v Value, low, high float64) string {
	if v.duration != (s.Kind == Duration) {
		return fmt.Sprintf("%s must be %s", s.Name, s.Kind)
	}
	if s.Kind == Count && v.number != float64(int64(v.number)) {
		return s.Name + " must be a whole number"
	}
	if v.number < low || v.number > high {
		return fmt.Sprintf("%s is %s, must be between %s and %s", s.Name, s.Format(v.number), s.Format(low), s.Format(high))
	}
	return ""
}

// Format returns a number as text in the form of this parameter.
func (s ParameterSpec) Format(n float64) string {
	if s.Kind == Duration {
		return time.Duration(n * float64(time.Second)).String()
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// String describes the form of the values, for error messages.
func (k ParameterKind) String() string {
	return [...]string{"a ratio such as 0.5", "a whole number", "a duration such as \"30s\""}[k]
}
