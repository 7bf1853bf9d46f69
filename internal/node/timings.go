package node

import (
	"io"
	"time"

	"oxbowsaddle/internal/telemetry"
)

// decisionSampleInterval is how many packets come on each decision whose time is taken: two
// looks at the clock cost about as much as the decision.
const decisionSampleInterval = 16

type (
	// entryTimings is what an entry measures of itself.
	entryTimings struct {
		decision *telemetry.Timing // of a packet, one in timeOneIn
		lag      *telemetry.Timing // from the offer of a document to when it is in force
	}

	// controlTimings is what a control instance measures of itself.
	controlTimings struct {
		order      *telemetry.Timing // from an order to its acknowledgement here
		evacuation *telemetry.Timing // the same for an order about an evacuation
		leave      *telemetry.Timing // from a leave to its acknowledgement here
		sync       *telemetry.Timing // of a batch of the log
	}
)

func newEntryTimings() entryTimings {
	return entryTimings{
		decision: telemetry.NewTiming("oxbowsaddle_decision_seconds"),
		lag:      telemetry.NewTiming("oxbowsaddle_document_lag_seconds"),
	}
}

func newControlTimings() controlTimings {
	return controlTimings{
		order:      telemetry.NewTiming("oxbowsaddle_order_seconds"),
		evacuation: telemetry.NewTiming("oxbowsaddle_evacuation_seconds"),
		leave:      telemetry.NewTiming("oxbowsaddle_leave_seconds"),
		sync:       telemetry.NewTiming("oxbowsaddle_sync_seconds"),
	}
}

func (t entryTimings) writeText(w io.Writer) {
	t.decision.WriteText(w)
	t.lag.WriteText(w)
}

func (t controlTimings) writeText(w io.Writer) {
	t.order.WriteText(w)
	t.evacuation.WriteText(w)
	t.leave.WriteText(w)
	t.sync.WriteText(w)
}

// observeSince adds the time since began if it went well: what fails is counted
// by its callers.
func observeSince(t *telemetry.Timing, now func() time.Time, start time.Time, err error) {
	if err == nil {
		t.Observe(now().Sub(start))
	}
}
