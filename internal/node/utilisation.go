package node

import (
	"context"
	"slices"

	"oxbowsaddle/internal/wire"
)

// Utilisation returns the state of the pools that the instance allocates.
func (a *controlAPI) Utilisation(_ context.Context, r *wire.UtilisationRequest) (*wire.UtilisationReply, error) {
	c := a.control
	reply := &wire.UtilisationReply{Name: c.Status().Self, Enabled: c.allocation != nil}
	if c.allocation == nil {
		return reply, nil
	}
	reply.Pools = c.allocation.pools(c.config.Now())
	if r.Service != "" {
		reply.Pools = slices.DeleteFunc(reply.Pools, func(p *wire.PoolUtilisation) bool { return p.Service != r.Service })
	}
	return reply, nil
}

// Utilisation returns the load of the services at the entry, and what it has admitted and
// rejected.
func (a *entryAPI) Utilisation(_ context.Context, r *wire.UtilisationRequest) (*wire.UtilisationReply, error) {
	reply := a.entry.utilisation()
	if r.Service != "" {
		reply.Services = slices.DeleteFunc(reply.Services, func(s *wire.ServiceLoad) bool { return s.Service != r.Service })
	}
	return reply, nil
}

// utilisation returns the load of the services at the entry, and what it has admitted and rejected.
func (e *Entry) utilisation() *wire.UtilisationReply {
	reply := &wire.UtilisationReply{Name: e.config.Name, Enabled: e.admission != nil}
	if e.admission == nil {
		return reply
	}
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	account := e.steerer.Account()
	reply.Services, reply.Routes = account.Services(now), account.Routes()
	return reply
}
