package instance

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// Voters lists or changes the control instances.
func (s *server) Voters(ctx context.Context, r *wire.VotersRequest) (*wire.VotersReply, error) {
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	if reply, err := s.votersLocal(ctx, r); err == nil || r.Forwarded {
		return reply, nil
	}
	forwarded := &wire.VotersRequest{Add: r.Add, Remove: r.Remove, Forwarded: true}
	reply := &wire.VotersReply{Kind: fault.NoQuorum.Name(), Detail: "no control instance could answer"}
	s.askOthers(ctx, func(client wire.DRPCControlClient) bool {
		got, err := client.Voters(ctx, forwarded)
		decided := err == nil && got.Kind != fault.NotCurrent.Name()
		if decided {
			reply = got
		}
		return decided
	})
	return reply, nil
}

// votersLocal lists or changes the voters if this instance is the leader, and returns an
// error if the others should be asked.
func (s *server) votersLocal(ctx context.Context, r *wire.VotersRequest) (*wire.VotersReply, error) {
	err := fault.New(fault.NotCurrent, "%s is not a control instance", s.instance.self.Name)
	reply := &wire.VotersReply{}
	if l := s.instance.leader; l != nil {
		if callErr := l.calls.call(ctx, func(now time.Time) { err = l.changeVoters(now, r, reply) }); callErr != nil {
			err = fault.Wrap(fault.NoQuorum, callErr)
		}
	}
	if err != nil {
		reply.Kind, reply.Detail = fault.KindOf(err).Name(), err.Error()
		if fault.KindOf(err) != fault.NotCurrent {
			return reply, nil // an answer by the leader
		}
	}
	return reply, err
}

// changeVoters adds or removes control instances, or only lists them.
func (l *leaderLoop) changeVoters(now time.Time, r *wire.VotersRequest, reply *wire.VotersReply) error {
	if !l.replica.Current(now) {
		return fault.New(fault.NotCurrent, "%s is not the current leader", l.instance.self.Name)
	}
	voters := slices.Clone(l.replica.Voters())
	reply.Kind, reply.Voters = "accepted", voters
	if r.Add == "" && r.Remove == "" {
		return nil
	}
	if r.Add != "" {
		added, err := l.instance.config.Settings.Instance(r.Add)
		if err != nil || added.DataFolder == "" {
			return fault.New(fault.InvalidChange, "the settings name no instance %q with a data folder", r.Add)
		}
		voters = append(voters, r.Add)
	}
	if r.Remove != "" {
		voters = slices.DeleteFunc(voters, func(name string) bool { return name == r.Remove })
	}
	if _, err := l.replica.ProposeVoters(now, voters); err != nil {
		return err
	}
	reply.Voters = voters
	return nil
}
