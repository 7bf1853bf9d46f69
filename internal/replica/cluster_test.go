package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/storage/storagetest"
	"oxbowsaddle/internal/wire"
)

const (
	testStep      = 5 * time.Millisecond
	testHeartbeat = 50 * time.Millisecond
	testLease     = 200 * time.Millisecond
	testDrift     = 20 * time.Millisecond
)

// instance is one control instance with a disk that may crash and a clock that
// drifts within the configured bound.
type instance struct {
	name        string
	disk        *storagetest.Memory
	store       *storage.Store
	replica     *Replica
	running     bool
	pausedUntil time.Time
	clockRate   float64
	applied     []string // commands by index, from snapshot and log
}

// cluster simulates control instances whose messages are lost, delayed and
// duplicated.
type cluster struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Time
	instances []*instance
	pending   []delivery
	isolated  map[string]bool
	committed []string          // committed commands by index
	leaders   map[uint64]string // by term
	acked     map[uint64]string
	proposed  int
}

type delivery struct {
	at      time.Time
	message *wire.LogMessage
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(5000, 0), isolated: map[string]bool{},
		committed: []string{""}, leaders: map[uint64]string{}, acked: map[uint64]string{},
	}
	for i := range n {
		c.instances = append(c.instances, &instance{name: fmt.Sprint("c", i), disk: storagetest.NewMemory(), clockRate: 1 + (c.rng.Float64()-0.5)*0.1})
	}
	for _, inst := range c.instances {
		c.start(inst)
	}
	return c
}

func (c *cluster) names() []string {
	var names []string
	for _, inst := range c.instances {
		names = append(names, inst.name)
	}
	return names
}

// clock returns the local time of an instance. It drifts by up to 5%, which
// over one lease is within the configured drift.
func (c *cluster) clock(inst *instance) time.Time {
	return time.Unix(0, int64(float64(c.now.UnixNano()-5e12)*inst.clockRate)+5e12)
}

func (c *cluster) start(inst *instance) {
	store, loaded, err := storage.Open(inst.disk.Files())
	if err != nil {
		c.t.Fatalf("seed %d: %s: %v", c.seed, inst.name, err)
	}
	inst.store, inst.running = store, true
	inst.applied = []string{""}
	if loaded.Snapshot != nil {
		inst.applied = decodeState(loaded.Snapshot.State)
	}
	inst.replica = New(Config{
		Self: inst.name, Voters: c.names(), Heartbeat: testHeartbeat, Lease: testLease, Drift: testDrift,
		Rand: rand.New(rand.NewPCG(c.rng.Uint64(), 1)),
	}, c.clock(inst), loaded)
}

func encodeState(applied []string) []byte {
	var state []byte
	for _, a := range applied[1:] {
		state = append(append(state, a...), '\n')
	}
	return state
}

func decodeState(state []byte) []string {
	applied := []string{""}
	line := ""
	for _, b := range state {
		if b == '\n' {
			applied = append(applied, line)
			line = ""
		} else {
			line += string(b)
		}
	}
	return applied
}

// processReady performs the work of a Ready; a failing disk crashes the
// instance.
func (c *cluster) processReady(inst *instance) {
	ready := inst.replica.Ready(c.clock(inst))
	if ready.Snapshot != nil {
		if inst.store.SaveSnapshot(ready.Snapshot, &wire.HardState{Term: inst.replica.hardState.Term, Vote: inst.replica.hardState.Vote}, nil) != nil {
			c.crash(inst)
			return
		}
		inst.applied = decodeState(ready.Snapshot.State)
	}
	if ready.Record != nil && inst.store.Append(ready.Record) != nil {
		c.crash(inst)
		return
	}
	for _, m := range ready.Messages {
		c.send(m)
	}
	for _, e := range ready.Committed {
		c.apply(inst, e)
	}
	const compactEvery = 20
	if len(inst.replica.log.entries) > compactEvery && c.rng.IntN(20) == 0 && inst.replica.delivered > inst.replica.log.snapIndex {
		if inst.store.SaveSnapshot(inst.replica.Compact(inst.replica.delivered, encodeState(inst.applied))) != nil {
			c.crash(inst)
		}
	}
}

func (c *cluster) crash(inst *instance) { inst.running = false }

// apply asserts that all instances apply the same commands in the same order.
func (c *cluster) apply(inst *instance, e *wire.LogEntry) {
	if e.Index != uint64(len(inst.applied)) {
		c.t.Fatalf("seed %d: %s applies index %d after %d", c.seed, inst.name, e.Index, len(inst.applied)-1)
	}
	inst.applied = append(inst.applied, string(e.Command)+fmt.Sprint(e.Voters))
	if e.Index < uint64(len(c.committed)) {
		if c.committed[e.Index] != string(e.Command)+fmt.Sprint(e.Voters) {
			c.t.Fatalf("seed %d: index %d was %q, %s applies %q", c.seed, e.Index, c.committed[e.Index], inst.name, e.Command)
		}
		return
	}
	c.committed = append(c.committed, string(e.Command)+fmt.Sprint(e.Voters))
}

func (c *cluster) send(m *wire.LogMessage) {
	if c.rng.IntN(100) < 5 {
		return
	}
	for range 1 + c.rng.IntN(20)/19 {
		c.pending = append(c.pending, delivery{c.now.Add(time.Duration(1+c.rng.IntN(30)) * time.Millisecond), m})
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(testStep)
	batch := c.pending
	c.pending = nil
	for _, d := range batch {
		if d.at.After(c.now) {
			c.pending = append(c.pending, d)
			continue
		}
		if to := c.byName(d.message.To); to != nil && to.running && !c.isolated[d.message.To] && !c.isolated[d.message.From] {
			if to.pausedUntil.After(c.now) {
				c.pending = append(c.pending, delivery{to.pausedUntil.Add(time.Millisecond), d.message})
				continue
			}
			to.replica.Step(c.clock(to), d.message)
			c.processReady(to)
		}
	}
	for _, inst := range c.instances {
		if inst.running && !inst.pausedUntil.After(c.now) {
			inst.replica.Tick(c.clock(inst))
			c.processReady(inst)
		}
	}
	c.checkLeaders()
}

func (c *cluster) byName(name string) *instance {
	for _, inst := range c.instances {
		if inst.name == name {
			return inst
		}
	}
	return nil
}

// checkLeaders asserts that each term has one leader, and that no two leaders
// hold a valid lease at the same time.
func (c *cluster) checkLeaders() {
	current := ""
	for _, inst := range c.instances {
		if !inst.running || inst.replica.Role() != Leader {
			continue
		}
		if other, known := c.leaders[inst.replica.Term()]; known && other != inst.name {
			c.t.Fatalf("seed %d: term %d has leaders %s and %s", c.seed, inst.replica.Term(), other, inst.name)
		}
		c.leaders[inst.replica.Term()] = inst.name
		if inst.replica.Current(c.clock(inst)) {
			if current != "" {
				c.t.Fatalf("seed %d: %s and %s both hold a valid lease", c.seed, current, inst.name)
			}
			current = inst.name
		}
	}
}

func (c *cluster) propose() {
	for _, inst := range c.instances {
		if !inst.running || inst.pausedUntil.After(c.now) {
			continue
		}
		c.proposed++
		if _, err := inst.replica.Propose(c.clock(inst), fmt.Appendf(nil, "p%d", c.proposed)); err == nil {
			c.processReady(inst)
			return
		}
	}
}

// toggleVoter has the leader remove the last instance from the voters, or add
// it back.
func (c *cluster) toggleVoter() {
	last := c.instances[len(c.instances)-1].name
	for _, inst := range c.instances {
		if !inst.running || inst.pausedUntil.After(c.now) {
			continue
		}
		voters := slices.Clone(inst.replica.Voters())
		if i := slices.Index(voters, last); i >= 0 {
			voters = slices.Delete(voters, i, i+1)
		} else {
			voters = append(voters, last)
		}
		if _, err := inst.replica.ProposeVoters(c.clock(inst), voters); err == nil {
			c.processReady(inst)
			return
		}
	}
}

func (c *cluster) injectFault() {
	inst := c.instances[c.rng.IntN(len(c.instances))]
	switch c.rng.IntN(10) {
	case 0:
		inst.running = false
	case 1, 2:
		inst.disk.CrashAfter(c.rng.IntN(6))
	case 3, 4, 5:
		c.restart(inst)
	case 6:
		inst.pausedUntil = c.now.Add(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
	case 7:
		c.isolated[inst.name] = true
	default:
		clear(c.isolated)
	}
}

func (c *cluster) restart(inst *instance) {
	if inst.running {
		return
	}
	inst.disk.Restart(c.rng.IntN(40))
	c.start(inst)
}

func (c *cluster) run(steps int) {
	for range steps {
		if c.rng.IntN(60) == 0 {
			c.injectFault()
		}
		if c.rng.IntN(4) == 0 {
			c.propose()
		}
		if c.rng.IntN(300) == 0 {
			c.toggleVoter()
		}
		c.step()
	}
}

// voters returns the voters according to the instance with the highest commit
// index.
func (c *cluster) voters() []string {
	best := c.instances[0]
	for _, inst := range c.instances {
		if inst.replica.Commit() > best.replica.Commit() {
			best = inst
		}
	}
	return best.replica.Voters()
}

// checkConvergence ends all faults and asserts that every voter then applies
// all committed commands.
func (c *cluster) checkConvergence() {
	clear(c.isolated)
	for _, inst := range c.instances {
		inst.pausedUntil = time.Time{}
		if !inst.running || inst.disk.Crashed() {
			inst.running = false
			c.restart(inst)
		}
		inst.disk.CrashAfter(-1)
	}
	for range 800 {
		c.step()
	}
	c.propose()
	for range 100 {
		c.step()
	}
	for _, inst := range c.instances {
		if !slices.Contains(c.voters(), inst.name) {
			continue // removed voters receive no further entries
		}
		if !inst.running || len(inst.applied) != len(c.committed) {
			c.t.Fatalf("seed %d: after recovery %s (running %v) has applied %d of %d", c.seed, inst.name, inst.running, len(inst.applied)-1, len(c.committed)-1)
		}
	}
}
