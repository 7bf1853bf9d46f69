package node

import (
	"io"
	"time"

	"oxbowsaddle/internal/telemetry"
)

// decisionSampleInterval is the number of packets per timed decision: reading the clock twice
// costs about as much as a decision.
const decisionSampleInterval = 16

type (
	// entryTimings holds the timings of an entry.
	entryTimings struct {
		decision *telemetry.Timing // of one in decisionSampleInterval packets
		lag      *telemetry.Timing // from the offer of a document until it is in force
	}

	// controlTimings holds the timings of a control instance.
	controlTimings struct {
		order      *telemetry.Timing // from receiving a document to its acknowledgement
		evacuation *telemetry.Timing // from receiving an evacuation order to its acknowledgement
		leave      *telemetry.Timing // from receiving a leave to its acknowledgement
		sync       *telemetry.Timing // of writing a batch of the log
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

// observeSince records the time since start, unless err is set: timings cover only successful
// operations.
func observeSince(t *telemetry.Timing, now func() time.Time, start time.Time, err error) {
	if err == nil {
		t.Observe(now().Sub(start))
	}
}
