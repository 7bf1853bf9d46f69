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
	// ParameterKind says how a parameter is written.
	ParameterKind int

	// ParameterSpec states the name, kind, bounds and default of a parameter
	// that templates may narrow and teams may set. Durations are in seconds.
	ParameterSpec struct {
		Name         string
		Kind         ParameterKind
		Min, Max     float64
		DefaultValue float64
		Doc          string
	}

	// Parameter is what a template says of one parameter.
	Parameter struct {
		Default *Value `json:"default,omitempty"`
		Min     *Value `json:"min,omitempty"`
		Max     *Value `json:"max,omitempty"`
	}

	// Value is a number, or a duration such as "30s" held in seconds.
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

// specs is the closed list of parameters.
var specs = []ParameterSpec{
	{Balance, Ratio, 0, 1, 0.5, "weight of even load against unbroken flows: 0 never moves a bucket for balance, 1 moves at small imbalance"},
	{Idle, Duration, 1, 86400, 600, "a flow without packets for so long has ended"},
	{DrainDeadline, Duration, 1, 604800, 7200, "a leaving backend server keeps its flows so long at most"},
	{RequestLife, Duration, 1, 300, 30, "the longest life of a request, with every retransmission of it"},
	{QueueLimit, Count, 1, 100000, 500, "requests that wait for a slot at most"},
	{LowestShare, Ratio, 0, 0.5, 0.1, "share of the slots that the later classes get while the first one could take all"},
	{RetryShare, Ratio, 0, 1, 0.1, "retries as a share of first attempts, for requests that may be repeated"},
}

// Specs returns the closed list of parameters.
func Specs() []ParameterSpec { return specs }

func findSpec(name string) (ParameterSpec, bool) {
	for _, s := range specs {
		if s.Name == name {
			return s, true
		}
	}
	return ParameterSpec{}, false
}

// Number returns the value; durations are in seconds.
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

// MarshalJSON writes the value as it was read.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.duration {
		return json.Marshal(time.Duration(v.number * float64(time.Second)).String())
	}
	return json.Marshal(v.number)
}

// check returns what is wrong with a value for a parameter, or "".
func (s ParameterSpec) check(v Value, low, high float64) string {
	if v.duration != (s.Kind == Duration) {
		return fmt.Sprintf("%s is written as %s", s.Name, s.Kind)
	}
	if s.Kind == Count && v.number != float64(int64(v.number)) {
		return s.Name + " is a whole number"
	}
	if v.number < low || v.number > high {
		return fmt.Sprintf("%s is %s, allowed is %s to %s", s.Name, s.Format(v.number), s.Format(low), s.Format(high))
	}
	return ""
}

// Format writes a number as a value of this parameter.
func (s ParameterSpec) Format(n float64) string {
	if s.Kind == Duration {
		return time.Duration(n * float64(time.Second)).String()
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// String names the kind as messages show it.
func (k ParameterKind) String() string {
	return [...]string{"a ratio such as 0.5", "a whole number", "a duration such as \"30s\""}[k]
}
