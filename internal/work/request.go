package work

import (
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

type (
	// attempt is one dispatch to an endpoint.
	attempt struct {
		endpoint  uint32
		messageID int32
		sentAt    time.Time
		timeoutAt time.Time
		open      bool
	}

	// request is the owner's state of one request.
	request struct {
		id             route.FlowID // the key: a hash of the tuple and the token
		key            messageKey
		class          *route.Class
		tuple          packet.Tuple
		message        Message
		state          State
		received       time.Time
		deadline       time.Time
		expires        time.Time // when the request is forgotten
		keyHeld        bool      // the second holder stores the key, or doesn't need to
		mayHaveRun     bool      // an attempt was abandoned without an answer
		pinnedEndpoint uint32    // the one that serves the block-wise transfer, or 0
		attempts       []attempt
		answer         *Message // the final answer
	}
)

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool { return r.class != nil && r.class.Repeatable }

// openAttempt returns the attempt that hasn't been answered or abandoned, or nil.
func (r *request) openAttempt() *attempt {
	for i := range r.attempts {
		if r.attempts[i].open {
			return &r.attempts[i]
		}
	}
	return nil
}

// tried reports whether the request has been sent to the endpoint.
func (r *request) tried(endpoint uint32) bool {
	for _, a := range r.attempts {
		if a.endpoint == endpoint {
			return true
		}
	}
	return false
}
