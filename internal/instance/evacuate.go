package instance

import (
	"context"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// Evacuate refuses the request. In this fabric a failure domain is evacuated by changes
// that mark its endpoints as leaving.
func (s *server) Evacuate(context.Context, *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	return &wire.EvacuateReply{
		Kind:   fault.Usage.Name(),
		Detail: "entries of this fabric assign flows by buckets: submit a change that marks the endpoints of the failure domain as leaving",
	}, nil
}

// Utilisation reports that admission control is off: this fabric has none.
func (s *server) Utilisation(context.Context, *wire.UtilisationRequest) (*wire.UtilisationReply, error) {
	return &wire.UtilisationReply{Name: s.instance.self.Name}, nil
}
