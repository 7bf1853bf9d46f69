package instance

import (
	"context"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// Evacuate is refused in this fabric: a bucket keeps its endpoint until a change of
// a service moves it, so failure domains are emptied by changes of services.
func (s *server) Evacuate(context.Context, *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	return &wire.EvacuateReply{
		Kind:   fault.Usage.Name(),
		Detail: "entries of this fabric place flows by buckets: have a change accepted that marks the endpoints of the failure domain as leaving",
	}, nil
}
