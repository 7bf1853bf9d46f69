package slopes

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/controller"
	"oxbowsaddle/internal/health"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	endpointsPerService = 4   // typical of a large fleet
	membershipEndpoints = 400 // fixed number of endpoints where the number of entries varies
)

var startTime = time.Unix(1_700_000_000, 0)

// measurements returns the measurement of every slope.
func measurements() []measurement {
	return []measurement{
		{"decision_flows", "flows cached", "ns", []int{10_000, 50_000, 200_000, 1_000_000}, decisionByFlows},
		{"decision_endpoints", "endpoints in all services", "ns", []int{16, 4_000, 20_000, 55_000}, decisionByEndpoints},
		{"sweep_pass", "flows cached", "ns", []int{10_000, 50_000, 200_000, 1_000_000}, sweepPass},
		{"flow_memory", "flows cached at most", "bytes", []int{50_000, 100_000, 200_000, 400_000}, flowMemory},
		{"record_memory", "records held", "bytes", []int{5_000, 10_000, 20_000, 40_000}, recordMemory},
		{"state_memory", "endpoints", "bytes", []int{2_000, 8_000, 20_000, 55_000}, stateMemory},
		{"snapshot_bytes", "endpoints", "bytes", []int{2_000, 8_000, 20_000, 55_000}, snapshotBytes},
		{"apply_change", "endpoints", "ns", []int{2_000, 8_000, 20_000, 55_000}, applyChange},
		{"change_bytes", "endpoints of the changed service", "bytes", []int{1, 4, 8, 16}, changeBytes},
		{"apply_moves", "endpoints", "ns", []int{2_000, 8_000, 20_000, 55_000}, applyMoves},
		{"move_bytes", "buckets moved", "bytes", []int{16, 64, 256, 1024}, moveBytes},
		{"place_tick", "services", "ns", []int{500, 2_000, 5_000, 15_000}, tickByServices},
		{"beat_cost", "entries", "ns", []int{8, 100, 425, 1_700}, heartbeatCost},
		{"controller_tick", "entries", "ns", []int{8, 100, 425, 1_700}, tickByEntries},
		{"beat_bytes", "buckets reported", "bytes", []int{0, 50, 200, 400}, heartbeatBytes},
		{"rank_cost", "entries in a failure domain", "ns", []int{8, 50, 200, 425}, rankCost},
		{"in_force", "light instances that beat", "ms", []int{25, 50, 100, 200}, activationTime},
		{"leader_cpu", "light instances that beat", "thousandths of a core", []int{25, 50, 100, 200}, leaderCPU},
	}
}

// newState returns a control state with the given number of endpoints, in services
// of endpointsPerService each.
func newState(endpoints int) (*control.State, error) {
	s := control.NewState()
	change := &wire.Change{Id: "first", Author: "slopes", Objects: []*wire.Object{{Kind: "template", Name: "t", Body: []byte(`{"parameters":{}}`)}}}
	var names []string
	for n := range max(endpoints/endpointsPerService, 1) {
		names = append(names, fmt.Sprintf(`"s%d"`, n))
		change.Objects = append(change.Objects, serviceObject(n, endpointsPerService))
	}
	change.Objects = append(change.Objects, &wire.Object{Kind: "team", Name: "team", Body: []byte(`{"template":"t","services":[` + strings.Join(names, ",") + `]}`)})
	return s, applyCommand(s, &wire.Command{Body: &wire.Command_Change{Change: change}})
}

// serviceObject returns the configuration of service n.
func serviceObject(n, endpoints int) *wire.Object {
	var list []string
	for e := range endpoints {
		list = append(list, fmt.Sprintf(`{"name":"e%d","address":%q,"domain":"d%d","slots":3,"connections":2000}`, e, endpointAddr(n*64+e), n%16))
	}
	body := fmt.Sprintf(`{"classes":[{"name":"c","address":%q,"protocol":"tcp","kind":"flow"}],"endpoints":[%s]}`, serviceAddr(n), strings.Join(list, ","))
	return &wire.Object{Kind: "service", Name: fmt.Sprint("s", n), Body: []byte(body)}
}

func serviceAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 443)
}

func endpointAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 6081)
}

// applyCommand applies a command to the state as its next log entry.
func applyCommand(s *control.State, c *wire.Command) error {
	c.UnixNano = startTime.UnixNano()
	data, err := proto.Marshal(c)
	if err != nil {
		return err
	}
	answer, err := s.Apply(s.Index()+1, data)
	if err == nil && answer.Outcome != control.Accepted {
		err = fmt.Errorf("%s %s %v", answer.Outcome, answer.Detail, answer.Faults)
	}
	return err
}

// placeBuckets adds entries as members of the state and assigns an endpoint to
// every bucket. It returns the controller that did so.
func placeBuckets(s *control.State, entries int) (*controller.Controller, error) {
	members := &wire.Members{}
	for n := range entries {
		members.Joined = append(members.Joined, &wire.Member{Name: fmt.Sprint("e", n), Domain: fmt.Sprint("d", n%16), Incarnation: 1})
	}
	if err := applyCommand(s, &wire.Command{Body: &wire.Command_Members{Members: members}}); err != nil {
		return nil, err
	}
	ctl := controller.New(controller.Config{
		Lease: time.Hour, ClockMargin: time.Second, SettleAfter: time.Second, ReturnTimeout: time.Second, MaxMovesPerRound: 8, Health: health.DefaultConfig(),
	}, startTime, s, 0)
	for _, c := range ctl.Tick(startTime) {
		if err := applyCommand(s, c); err != nil {
			return nil, err
		}
	}
	return ctl, nil
}

// stateMemory measures the heap of a control state with all buckets placed.
func stateMemory(m *meter, endpoints int) (float64, error) {
	var err error
	bytes := m.heapBytes(func() any {
		s, buildErr := newState(endpoints)
		if buildErr == nil {
			_, buildErr = placeBuckets(s, 8)
		}
		err = buildErr
		return s
	})
	return bytes, err
}

// snapshotBytes returns the size of a snapshot of the control state.
func snapshotBytes(_ *meter, endpoints int) (float64, error) {
	s, err := newState(endpoints)
	if err != nil {
		return 0, err
	}
	if _, err := placeBuckets(s, 8); err != nil {
		return 0, err
	}
	data, err := s.Snapshot()
	return float64(len(data)), err
}

// applyChange measures applying a change to one service.
func applyChange(m *meter, endpoints int) (float64, error) {
	s, err := newState(endpoints)
	if err != nil {
		return 0, err
	}
	n := 0
	return m.timePerCall(func() {
		n++
		err := applyCommand(s, &wire.Command{Body: &wire.Command_Change{Change: &wire.Change{
			Id: fmt.Sprint("c", n), Base: 1 << 60, Objects: []*wire.Object{serviceObject(0, 1+n%endpointsPerService)},
		}}})
		if err != nil {
			panic(err)
		}
	}), nil
}

// changeBytes returns the size of the command that changes a service.
func changeBytes(_ *meter, endpoints int) (float64, error) {
	c := &wire.Command{UnixNano: startTime.UnixNano(), Body: &wire.Command_Change{Change: &wire.Change{
		Id: strings.Repeat("x", 26), Author: "operator", Base: 1 << 40, Objects: []*wire.Object{serviceObject(0, endpoints)},
	}}}
	return float64(proto.Size(c)), nil
}

// applyMoves measures applying a command that moves 64 buckets.
func applyMoves(m *meter, endpoints int) (float64, error) {
	s, err := newState(endpoints)
	if err != nil {
		return 0, err
	}
	if _, err := placeBuckets(s, 8); err != nil {
		return 0, err
	}
	n := 0
	return m.timePerCall(func() {
		n++
		if err := applyCommand(s, movesCommand(64, uint32(1+n%2))); err != nil {
			panic(err)
		}
	}), nil
}

// movesCommand returns a command that moves the first buckets of a service.
func movesCommand(count int, endpoint uint32) *wire.Command {
	list := &wire.Moves{Reason: "weights"}
	for b := range count {
		list.Moves = append(list.Moves, &wire.Move{Service: 1, Bucket: uint32(b), Endpoint: endpoint})
	}
	return &wire.Command{Body: &wire.Command_Moves{Moves: list}}
}

// moveBytes returns the size of a command that moves buckets.
func moveBytes(_ *meter, count int) (float64, error) {
	return float64(proto.Size(movesCommand(count, 40_000))), nil
}

// newPlacedController returns a controller that has placed all buckets, and the
// index of its state.
func newPlacedController(endpoints, entries int) (*controller.Controller, uint64, error) {
	s, err := newState(endpoints)
	if err != nil {
		return nil, 0, err
	}
	ctl, err := placeBuckets(s, entries)
	return ctl, s.Index(), err
}

// tickTime measures a controller tick, at a later time in each call.
func tickTime(m *meter, ctl *controller.Controller) float64 {
	now := startTime
	return m.timePerCall(func() {
		now = now.Add(time.Millisecond)
		ctl.Tick(now)
	})
}

// tickByServices measures controller ticks that find nothing to place.
func tickByServices(m *meter, services int) (float64, error) {
	ctl, _, err := newPlacedController(services*endpointsPerService, 8)
	if err != nil {
		return 0, err
	}
	return tickTime(m, ctl), nil
}

// heartbeatRequest returns a heartbeat of entry n that has applied and counted
// its flows up to an index.
func heartbeatRequest(n int, applied uint64) *wire.BeatRequest {
	return &wire.BeatRequest{Name: fmt.Sprint("e", n), Domain: fmt.Sprint("d", n%16), Incarnation: 1, Applied: applied, Active: applied, CountedIndex: applied}
}

// heartbeatCost measures the handling of a heartbeat by the controller.
func heartbeatCost(m *meter, entries int) (float64, error) {
	ctl, index, err := newPlacedController(membershipEndpoints, entries)
	if err != nil {
		return 0, err
	}
	n := 0
	return m.timePerCall(func() {
		n = (n + 1) % entries
		ctl.HandleHeartbeat(startTime, heartbeatRequest(n, index), true)
	}), nil
}

// tickByEntries measures controller ticks after a heartbeat of every entry.
func tickByEntries(m *meter, entries int) (float64, error) {
	ctl, index, err := newPlacedController(membershipEndpoints, entries)
	if err != nil {
		return 0, err
	}
	for n := range entries {
		ctl.HandleHeartbeat(startTime, heartbeatRequest(n, index), true)
	}
	return tickTime(m, ctl), nil
}

// heartbeatBytes returns the size of a heartbeat and its reply together.
func heartbeatBytes(_ *meter, rows int) (float64, error) {
	r := heartbeatRequest(6799, 1<<30)
	r.Checksum = 1 << 62
	for n := range rows {
		r.Counts = append(r.Counts, &wire.BucketCount{Service: 15_000, Bucket: uint32(n), Flows: 100})
	}
	reply := &wire.BeatReply{Leader: true, LeaderName: "e1", Term: 100, LeaseNanos: int64(time.Second), Active: 1 << 30, Commit: 1 << 30}
	return float64(proto.Size(r) + proto.Size(reply)), nil
}

// rankCost measures ranking the entries of one failure domain for a bucket.
func rankCost(m *meter, entries int) (float64, error) {
	var members []route.Member
	for n := range entries {
		members = append(members, route.NewMember(fmt.Sprint("e", n), "d0", 1, false, 1))
	}
	bucket := uint32(0)
	return m.timePerCall(func() {
		bucket++
		route.Rank(members, 1, bucket)
	}), nil
}
