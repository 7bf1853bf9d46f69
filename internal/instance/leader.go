package instance

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/controller"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/health"
	"oxbowsaddle/internal/replica"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

const leaderTick = 10 * time.Millisecond

type (
	// waiter receives the outcome of a proposed change. The channel is closed if this
	// instance loses the leadership first.
	waiter struct {
		answer chan control.Answer
	}

	// leaderLoop owns the replica of the log and, while this instance is the leader, the
	// controller.
	leaderLoop struct {
		instance *Instance
		store    *storage.Store
		replica  *replica.Replica
		state    *control.State
		ctl      *controller.Controller // nil unless this instance is the leader
		calls    callQueue
		waiters  map[uint64]waiter                // by log index
		outboxes map[string]chan *wire.LogMessage // by receiving instance
		snapshot struct {                         // the latest one
			index uint64
			data  []byte
		}
		lastRole replica.Role
	}
)

func newLeaderLoop(i *Instance) (*leaderLoop, error) {
	const queue = 256
	files, err := storage.Folder(i.self.DataFolder)
	if err != nil {
		return nil, fault.Wrap(fault.DataFolder, err)
	}
	store, loaded, err := storage.Open(files)
	if err != nil {
		return nil, err
	}
	if loaded.Torn {
		i.log.Warn("truncated an incomplete last log record", "folder", i.self.DataFolder)
	}
	state := control.NewState()
	if loaded.Snapshot != nil {
		if state, err = control.Restore(loaded.Snapshot.State); err != nil {
			return nil, err
		}
	}
	t := i.config.Settings.Times
	l := &leaderLoop{
		instance: i, store: store, state: state, calls: make(callQueue, queue),
		waiters: map[uint64]waiter{}, outboxes: map[string]chan *wire.LogMessage{},
	}
	if loaded.Snapshot != nil {
		l.snapshot.index = loaded.Snapshot.Index
	}
	seed := binary.LittleEndian.Uint64(append([]byte(i.self.Name), make([]byte, 8)...))
	l.replica = replica.New(replica.Config{
		Self: i.self.Name, Voters: i.config.Settings.Voters(), Heartbeat: t.LogHeartbeatInterval.Std(),
		Lease: t.LogLease.Std(), Drift: t.LogDrift.Std(), Rand: rand.New(rand.NewPCG(seed, uint64(i.now().UnixNano()))),
	}, i.now(), loaded)
	return l, nil
}

func (l *leaderLoop) close() error { return l.store.Close() }

// run processes calls and timers until the context ends or an error occurs.
func (l *leaderLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(leaderTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-l.calls:
			call(l.instance.now())
		case <-ticker.C:
			l.replica.Tick(l.instance.now())
		}
		start := l.instance.now()
		err := l.process(ctx)
		l.instance.budget.addBusy(l.instance.now().Sub(start))
		if err != nil {
			l.instance.log.Error("control instance failed", "error", err, "next", fault.KindOf(err).Answer().NextStep())
			return err
		}
	}
}

// process persists, sends and applies what the replica has ready, in this order, and
// runs the controller. It repeats until there is nothing left to do.
func (l *leaderLoop) process(ctx context.Context) error {
	for {
		now := l.instance.now()
		ready := l.replica.Ready(now)
		if err := l.persist(ready); err != nil {
			return err
		}
		for _, m := range ready.Messages {
			l.enqueue(ctx, m)
		}
		for _, e := range ready.Committed {
			if err := l.apply(e); err != nil {
				return err
			}
		}
		if err := l.compact(); err != nil {
			return err
		}
		if !l.runController(now) && len(ready.Committed) == 0 {
			return nil
		}
	}
}

// persist writes the snapshot and the log record that the replica has ready.
func (l *leaderLoop) persist(ready replica.Ready) error {
	if s := ready.Snapshot; s != nil {
		state, err := control.Restore(s.State)
		if err != nil {
			return err
		}
		l.state = state
		if err := l.store.SaveSnapshot(s, ready.HardState, nil); err != nil {
			return err
		}
		l.instance.log.Info("installed a snapshot", "index", s.Index)
	}
	if ready.Record == nil {
		return nil
	}
	l.instance.counters.Counter("log_syncs").Inc(1)
	return l.store.Append(ready.Record)
}

// apply applies a committed log entry and answers its waiter.
func (l *leaderLoop) apply(e *wire.LogEntry) error {
	answer, err := l.state.Apply(e.Index, e.Command)
	if err != nil {
		return err
	}
	if w, ok := l.waiters[e.Index]; ok {
		delete(l.waiters, e.Index)
		w.answer <- answer
	}
	return nil
}

// runController runs the controller while this instance is the leader, and reports
// whether it proposed commands.
func (l *leaderLoop) runController(now time.Time) bool {
	role := l.replica.Role()
	if role != l.lastRole {
		l.lastRole = role
		l.instance.log.Info("log role", "role", role, "term", l.replica.Term(), "leader", l.replica.Leader(), "index", l.state.Index())
	}
	if role != replica.Leader {
		l.ctl = nil
		l.failWaiters()
		return false
	}
	if !l.replica.Current(now) || l.state.Index() < l.replica.LastIndex() {
		return false
	}
	if l.ctl == nil {
		l.ctl = controller.New(l.controllerConfig(), now, l.state, l.replica.LastIndex())
	}
	commands := l.ctl.Tick(now)
	for _, c := range commands {
		if _, err := l.propose(now, c); err != nil {
			return false
		}
	}
	return len(commands) > 0
}

func (l *leaderLoop) controllerConfig() controller.Config {
	s := l.instance.config.Settings
	h := health.DefaultConfig()
	h.Ramp = s.Times.Ramp.Std()
	return controller.Config{
		Lease: s.Times.Lease.Std(), ClockMargin: s.Times.ClockMargin.Std(), SettleAfter: s.Times.SettleAfter.Std(),
		ReturnTimeout: s.Times.ReturnTimeout.Std(), PlacementInterval: s.Times.PlacementInterval.Std(), MaxMovesPerRound: s.Limits.MaxMovesPerRound, Health: h,
	}
}

func (l *leaderLoop) propose(now time.Time, c *wire.Command) (uint64, error) {
	c.UnixNano = now.UnixNano()
	data, err := proto.Marshal(c)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err)
	}
	return l.replica.Propose(now, data)
}

// failWaiters ends the wait for proposed changes when the leadership is lost. The next
// leader may still commit such a change; its ID prevents a retry from applying twice.
func (l *leaderLoop) failWaiters() {
	for index, w := range l.waiters {
		delete(l.waiters, index)
		close(w.answer)
	}
}

// compact saves a snapshot and compacts the log once it exceeds the configured length.
func (l *leaderLoop) compact() error {
	grown := l.state.Index() - l.snapshot.index
	if grown < uint64(l.instance.config.Settings.Limits.LogEntries) {
		return nil
	}
	data, err := l.state.Snapshot()
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	l.snapshot.index, l.snapshot.data = l.state.Index(), data
	return l.store.SaveSnapshot(l.replica.Compact(l.state.Index(), data))
}

// currentSnapshot returns a recent snapshot, for entries that are behind the compacted
// log.
func (l *leaderLoop) currentSnapshot() (uint64, []byte, error) {
	const maxLag = 64
	if l.snapshot.data == nil || l.state.Index()-l.snapshot.index > maxLag {
		data, err := l.state.Snapshot()
		if err != nil {
			return 0, nil, err
		}
		l.snapshot.index, l.snapshot.data = l.state.Index(), data
	}
	return l.snapshot.index, l.snapshot.data, nil
}

// enqueue passes a message to the goroutine that sends to its receiver. If the outbox is
// full, the message is dropped; the replica repeats unanswered messages.
func (l *leaderLoop) enqueue(ctx context.Context, m *wire.LogMessage) {
	const queue = 64
	outbox := l.outboxes[m.To]
	if outbox == nil {
		outbox = make(chan *wire.LogMessage, queue)
		l.outboxes[m.To] = outbox
		go l.runOutbox(ctx, m.To, outbox)
	}
	select {
	case outbox <- m:
	default:
		l.instance.counters.Counter("log_messages_dropped").Inc(1)
	}
}

func (l *leaderLoop) runOutbox(ctx context.Context, name string, outbox chan *wire.LogMessage) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-outbox:
			l.deliver(ctx, name, m)
		}
	}
}

func (l *leaderLoop) deliver(ctx context.Context, name string, m *wire.LogMessage) {
	target, err := l.instance.config.Settings.Instance(name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := l.instance.dialer.connect(ctx, target.ControlAddr, "log")
	if err == nil {
		_, err = client.Step(ctx, m)
	}
	if err != nil {
		l.instance.counters.Counter("log_messages_failed").Inc(1)
	}
}

// handleHeartbeat answers an entry's heartbeat.
func (l *leaderLoop) handleHeartbeat(now time.Time, r *wire.BeatRequest) *wire.BeatReply {
	reply := &wire.BeatReply{LeaderName: l.replica.Leader(), Term: l.replica.Term(), Commit: l.replica.Commit()}
	if l.ctl == nil || !l.replica.Current(now) {
		return reply
	}
	grant := l.ctl.HandleHeartbeat(now, r, true)
	reply.Leader, reply.LeaseNanos, reply.Active = true, int64(grant.Lease), grant.Active
	feed := controller.Feed{
		Entries: func(from uint64, maxBytes int) ([]*wire.LogEntry, bool) {
			if from > l.state.Index() {
				return nil, true
			}
			return l.replica.Entries(from, maxBytes)
		},
		Snapshot: l.currentSnapshot,
	}
	if err := feed.Fill(reply, r); err != nil {
		l.instance.log.Error("cannot fill a heartbeat reply", "error", err)
	}
	return reply
}

// submit proposes an operator's change and returns the channel that receives its
// outcome, or returns the answer to a plan or to a change that is not accepted.
func (l *leaderLoop) submit(now time.Time, c *wire.Change) (control.Answer, chan control.Answer, error) {
	if !l.replica.Current(now) || l.state.Index() < l.replica.LastIndex() && l.ctl == nil {
		return control.Answer{}, nil, fault.New(fault.NotCurrent, "%s is not the current leader", l.instance.self.Name)
	}
	if a := l.state.Preview(c); a.Outcome != control.Accepted || c.Plan {
		return a, nil, nil
	}
	index, err := l.propose(now, &wire.Command{Body: &wire.Command_Change{Change: c}})
	if err != nil {
		return control.Answer{}, nil, err
	}
	w := waiter{make(chan control.Answer, 1)}
	l.waiters[index] = w
	return control.Answer{}, w.answer, nil
}
