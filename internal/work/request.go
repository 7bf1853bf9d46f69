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
		at        time.Time
		until     time.Time
		open      bool
	}

	// request is what the owner knows of one request.
	request struct {
		id         route.FlowID
		key        messageKey
		class      *route.Class
		tuple      packet.Tuple
		message    Message
		state      State
		received   time.Time
		deadline   time.Time
		expires    time.Time
		held       bool // by the second holder
		mayHaveRun bool // an attempt was given up without an answer
		pinned     uint32
		attempts   []attempt
		answer     *Message
	}
)

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool { return r.class != nil && r.class.Repeatable }

// openAttempt returns the attempt that waits for an answer, or nil.
func (r *request) openAttempt() *attempt {
	for i := range r.attempts {
		if r.attempts[i].open {
			return &r.attempts[i]
		}
	}
	return nil
}

func (r *request) tried(endpoint uint32) bool {
	for _, a := range r.attempts {
		if a.endpoint == endpoint {
			return true
		}
	}
	return false
}
