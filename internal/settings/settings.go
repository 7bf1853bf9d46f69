// Package settings reads what a process must know before it starts: the
// instances of the fleet with their addresses and failure domains, limits and
// times. The file is JSON with comments; it is checked strictly, and all its
// faults are named at once with line and field.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"time"

	"oxbowsaddle/internal/fault"
)

type (
	// Duration is a time span written as text such as "300ms".
	Duration time.Duration

	// Instance is one entry instance of the fleet.
	Instance struct {
		Name    string         `json:"name"`
		Domain  string         `json:"domain"`
		Packets netip.AddrPort `json:"packets"` // Geneve over UDP
		Control netip.AddrPort `json:"control"` // drpc over TCP
		Data    string         `json:"data"`    // data folder; makes it a control instance
	}

	// Limits bound every table, queue and rate of an instance.
	Limits struct {
		Flows           int `json:"flows"`            // flows cached
		Records         int `json:"records"`          // records held for buckets in transition
		Waiting         int `json:"waiting"`          // packets waiting for answers of peers
		AsksASecond     int `json:"asks_a_second"`    // questions to peers
		PushBytes       int `json:"push_bytes"`       // bytes a second of records to holders
		ControlBytes    int `json:"control_bytes"`    // bytes a second for all control
		Requests        int `json:"requests"`         // requests held
		Decisions       int `json:"decisions"`        // decisions kept for why
		MemoryMegabytes int `json:"memory_megabytes"` // of the process for control
		CoreThousandths int `json:"core_thousandths"` // of one core for control
		LogEntries      int `json:"log_entries"`      // entries between snapshots
		ChecksASecond   int `json:"checks_a_second"`  // health checks
		SampleOneIn     int `json:"sample_one_in"`    // flows traced: one in so many
		MovesAtOnce     int `json:"moves_at_once"`    // buckets moved for balance at a time
		OperatorCalls   int `json:"operator_calls"`   // calls served at a time
		QueueBytes      int `json:"queue_bytes"`      // of one socket buffer
		RequestBytes    int `json:"request_bytes"`    // of one request
		HeldAtPeer      int `json:"held_at_peer"`     // request keys held as second holder
		RetryFloor      int `json:"retry_floor"`      // retries a second that are always allowed
	}

	// Times are the periods of control.
	Times struct {
		Beat         Duration `json:"beat"`
		Probe        Duration `json:"probe"`
		Lease        Duration `json:"lease"`
		Margin       Duration `json:"margin"`
		HeardFor     Duration `json:"heard_for"`
		IslandAfter  Duration `json:"island_after"`
		SettleAfter  Duration `json:"settle_after"`
		ReturnWait   Duration `json:"return_wait"`
		PlaceEvery   Duration `json:"place_every"`
		SweepEvery   Duration `json:"sweep_every"`
		AskTimeout   Duration `json:"ask_timeout"`
		PushRetry    Duration `json:"push_retry"`
		HalfOpenLife Duration `json:"half_open_life"`
		LogHeartbeat Duration `json:"log_heartbeat"`
		LogLease     Duration `json:"log_lease"`
		LogDrift     Duration `json:"log_drift"`
		Check        Duration `json:"check"`
		CheckTimeout Duration `json:"check_timeout"`
		PlatformPoll Duration `json:"platform_poll"`
		Ramp         Duration `json:"ramp"`
		StopTimeout  Duration `json:"stop_timeout"`
	}

	// TLS names the files for mutual TLS on the control address.
	TLS struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority"`
	}

	// Log sets what is logged.
	Log struct {
		Level string `json:"level"`
	}

	// Trace sets where spans are written: a file, "-" for standard output, or
	// nothing.
	Trace struct {
		File string `json:"file"`
	}

	// Settings is the whole file.
	Settings struct {
		HashKey   string         `json:"hash_key"`
		Fabric    netip.AddrPort `json:"fabric"`
		Platform  string         `json:"platform"`
		Instances []Instance     `json:"instances"`
		Limits    Limits         `json:"limits"`
		Times     Times          `json:"times"`
		TLS       TLS            `json:"tls"`
		Log       Log            `json:"log"`
		Trace     Trace          `json:"trace"`
	}
)

// Std returns the duration as the standard library has it.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText reads text such as "300ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns settings with every limit and time set and no instance.
func Default() Settings {
	const ms = Duration(time.Millisecond)
	return Settings{
		Limits: Limits{
			Flows: 200_000, Records: 100_000, Waiting: 1024, AsksASecond: 500, PushBytes: 2000, ControlBytes: 3000,
			Requests: 20_000, Decisions: 2000, MemoryMegabytes: 64, CoreThousandths: 13, LogEntries: 4096,
			ChecksASecond: 50, SampleOneIn: 1000, MovesAtOnce: 8, OperatorCalls: 32, QueueBytes: 4 << 20,
			RequestBytes: 1152, HeldAtPeer: 40_000, RetryFloor: 10,
		},
		Times: Times{
			Beat: 300 * ms, Probe: 400 * ms, Lease: 1500 * ms, Margin: 150 * ms, HeardFor: 1300 * ms, IslandAfter: 2400 * ms,
			SettleAfter: 2500 * ms, ReturnWait: 5000 * ms, PlaceEvery: 250 * ms, SweepEvery: 1000 * ms,
			AskTimeout: 60 * ms, PushRetry: 250 * ms, HalfOpenLife: 2000 * ms,
			LogHeartbeat: 100 * ms, LogLease: 600 * ms, LogDrift: 60 * ms,
			Check: 500 * ms, CheckTimeout: 400 * ms, PlatformPoll: 1000 * ms, Ramp: 8000 * ms, StopTimeout: 20_000 * ms,
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and checks a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.InvalidSettings, err)
	}
	s, faults := Parse(data)
	if len(faults) > 0 {
		return Settings{}, fault.New(fault.InvalidSettings, "%s", formatFaults(path, faults))
	}
	return s, nil
}

// Key returns the fleet's hash key.
func (s Settings) Key() [16]byte {
	var key [16]byte
	// Parse has checked that it is 32 hexadecimal digits.
	_, _ = hex.Decode(key[:], []byte(s.HashKey))
	return key
}

// Instance returns an instance by name.
func (s Settings) Instance(name string) (Instance, error) {
	for _, i := range s.Instances {
		if i.Name == name {
			return i, nil
		}
	}
	return Instance{}, fault.New(fault.InvalidSettings, "the settings name no instance %q", name)
}

// Voters returns the names of the control instances: those with a data folder.
func (s Settings) Voters() []string {
	var names []string
	for _, i := range s.Instances {
		if i.Data != "" {
			names = append(names, i.Name)
		}
	}
	return names
}
