// Package settings reads the settings file of a process: the instances of the fleet
// with their addresses and failure domains, limits and times. The file is JSON with
// comments. All its faults are reported at once, with line and field.
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
	// Duration is a time.Duration whose JSON form is a string such as "300ms".
	Duration time.Duration

	// Instance is one instance of the fleet. Each is an entry, which receives packets of
	// clients. Those with a data folder are control instances too, which replicate the
	// configuration.
	Instance struct {
		Name        string         `json:"name"`
		Domain      string         `json:"domain"`
		PacketAddr  netip.AddrPort `json:"packets"` // Geneve over UDP
		ControlAddr netip.AddrPort `json:"control"` // drpc over TCP
		DataFolder  string         `json:"data"`    // path, empty if it is not a control instance
	}

	// Limits bounds the tables, queues and rates of an instance.
	Limits struct {
		MaxFlows              int `json:"flows"`            // flow table entries
		MaxRecords            int `json:"records"`          // records held for buckets in transition
		MaxWaiting            int `json:"waiting"`          // flows waiting for answers of peers
		AsksPerSecond         int `json:"asks_a_second"`    // questions to peers per second
		PushBytesPerSecond    int `json:"push_bytes"`       // bytes per second of flow records sent to their holders
		ControlBytesPerSecond int `json:"control_bytes"`    // bytes per second of control traffic
		MaxRequests           int `json:"requests"`         // requests per service
		MaxDecisions          int `json:"decisions"`        // decisions kept for the why command
		MemoryMegabytes       int `json:"memory_megabytes"` // heap size above which the budget counts as exceeded
		CoreThousandths       int `json:"core_thousandths"` // processor time for control, in thousandths of a core
		LogEntries            int `json:"log_entries"`      // log entries between snapshots
		ChecksPerSecond       int `json:"checks_a_second"`  // health checks per second
		SampleOneIn           int `json:"sample_one_in"`    // one in this many flows is traced
		MaxMovesPerRound      int `json:"moves_at_once"`    // buckets moved at a time to balance load
		MaxOperatorCalls      int `json:"operator_calls"`   // concurrent calls of operators
		SocketBufferBytes     int `json:"queue_bytes"`      // size of a socket buffer
		MaxRequestBytes       int `json:"request_bytes"`    // maximum size of a request
		MaxHeldKeys           int `json:"held_at_peer"`     // request keys stored as second holder of a service
		MinRetriesPerSecond   int `json:"retry_floor"`      // retries per second that are always allowed
	}

	// Times holds the intervals and timeouts of an instance.
	Times struct {
		HeartbeatInterval    Duration `json:"beat"`           // interval of an entry's heartbeats to the leader
		ProbeInterval        Duration `json:"probe"`          // interval of probes between entries
		Lease                Duration `json:"lease"`          // duration of an entry's lease
		ClockMargin          Duration `json:"margin"`         // allowance for clock drift between instances
		PeerTimeout          Duration `json:"heard_for"`      // how long after a probe a peer counts as reachable
		IsolationDelay       Duration `json:"island_after"`   // how long after its leases expired a partitioned failure domain serves by itself
		SettleAfter          Duration `json:"settle_after"`   // how long a bucket must have no flows on other endpoints before its transition ends
		ReturnTimeout        Duration `json:"return_wait"`    // how long to wait for the entries of a failure domain that is reachable again
		PlacementInterval    Duration `json:"place_every"`    // interval of placement decisions
		SweepInterval        Duration `json:"sweep_every"`    // interval of sweeps of the flow table
		AskTimeout           Duration `json:"ask_timeout"`    // timeout of a question to peers
		PushRetryInterval    Duration `json:"push_retry"`     // time after which an unacknowledged push of records is repeated
		HalfOpenTimeout      Duration `json:"half_open_life"` // how long a flow without an answer is kept
		LogHeartbeatInterval Duration `json:"log_heartbeat"`  // heartbeat interval of the replicated log
		LogLease             Duration `json:"log_lease"`      // lease of the replicated log's leader
		LogDrift             Duration `json:"log_drift"`      // allowance for clock drift in that lease
		CheckInterval        Duration `json:"check"`          // interval of health checks
		CheckTimeout         Duration `json:"check_timeout"`  // timeout of health checks and of calls to the platform
		PlatformPollInterval Duration `json:"platform_poll"`  // interval of reading the platform's list of instances
		Ramp                 Duration `json:"ramp"`           // time in which a new endpoint's share of new flows rises to its full value
		StopTimeout          Duration `json:"stop_timeout"`   // time limit of a planned stop
	}

	// TLS names the PEM files for mutual TLS on the control addresses. All are set, or
	// none.
	TLS struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority"`
	}

	// Log configures logging. Level is debug, info, warn or error.
	Log struct {
		Level string `json:"level"`
	}

	// Trace configures tracing. File is the path to which spans are written: "-" is
	// standard output, and an empty path disables tracing.
	Trace struct {
		File string `json:"file"`
	}

	// Settings is the content of a settings file.
	Settings struct {
		HashKey   string         `json:"hash_key"` // 32 hexadecimal digits, the same on every instance
		Fabric    netip.AddrPort `json:"fabric"`   // address of the network fabric, to which answers for clients are sent
		Platform  string         `json:"platform"` // URL of the list of instances, empty if there is none
		Instances []Instance     `json:"instances"`
		Limits    Limits         `json:"limits"`
		Times     Times          `json:"times"`
		TLS       TLS            `json:"tls"`
		Log       Log            `json:"log"`
		Trace     Trace          `json:"trace"`
	}
)

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a duration such as "300ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration such as "300ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns settings with default limits and times, and without instances.
func Default() Settings {
	const ms = Duration(time.Millisecond)
	return Settings{
		Limits: Limits{
			MaxFlows: 200_000, MaxRecords: 100_000, MaxWaiting: 1024, AsksPerSecond: 500, PushBytesPerSecond: 2000, ControlBytesPerSecond: 3000,
			MaxRequests: 20_000, MaxDecisions: 2000, MemoryMegabytes: 64, CoreThousandths: 13, LogEntries: 4096,
			ChecksPerSecond: 50, SampleOneIn: 1000, MaxMovesPerRound: 8, MaxOperatorCalls: 32, SocketBufferBytes: 4 << 20,
			MaxRequestBytes: 1152, MaxHeldKeys: 40_000, MinRetriesPerSecond: 10,
		},
		Times: Times{
			HeartbeatInterval: 300 * ms, ProbeInterval: 400 * ms, Lease: 1500 * ms, ClockMargin: 150 * ms, PeerTimeout: 1300 * ms, IsolationDelay: 2400 * ms,
			SettleAfter: 2500 * ms, ReturnTimeout: 5000 * ms, PlacementInterval: 250 * ms, SweepInterval: 1000 * ms,
			AskTimeout: 60 * ms, PushRetryInterval: 250 * ms, HalfOpenTimeout: 2000 * ms,
			LogHeartbeatInterval: 100 * ms, LogLease: 600 * ms, LogDrift: 60 * ms,
			CheckInterval: 500 * ms, CheckTimeout: 400 * ms, PlatformPollInterval: 1000 * ms, Ramp: 8000 * ms, StopTimeout: 20_000 * ms,
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and validates a settings file. Errors are of kind InvalidSettings and list
// every fault.
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
	// Parse has checked the length and digits.
	_, _ = hex.Decode(key[:], []byte(s.HashKey))
	return key
}

// Instance returns an instance by name. It fails if there is none.
func (s Settings) Instance(name string) (Instance, error) {
	for _, i := range s.Instances {
		if i.Name == name {
			return i, nil
		}
	}
	return Instance{}, fault.New(fault.InvalidSettings, "the settings contain no instance %q", name)
}

// Voters returns the names of the control instances, which are those with a data folder.
func (s Settings) Voters() []string {
	var names []string
	for _, i := range s.Instances {
		if i.DataFolder != "" {
			names = append(names, i.Name)
		}
	}
	return names
}
