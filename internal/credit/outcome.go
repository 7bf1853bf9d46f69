package credit

// Outcomes of the admission of a new flow.
const (
	OwnCounts     Outcome = iota // placed by the entry's own counts
	Reused                       // placed with an idle credit
	Granted                      // placed with a credit granted for it
	Waiting                      // held until an allocator has answered
	Refused                      // rejected: every pool that was asked refused
	RetryRejected                // rejected: the client was rejected a moment ago, and the retry budget is used up
	Unasked                      // rejected: refused a moment ago, and the request budget is used up
	Yielded                      // rejected in favour of a higher priority that is refused credits
	LinkFull                     // rejected, as the network link of the entry is nearly full
	Uncertain                    // rejected by the last known share of refusals, as no allocator could decide

	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

type (
	// Outcome is the result of the admission of a new flow.
	Outcome int

	// Counts counts decisions in load mode, by service and outcome, and by route priority.
	Counts struct {
		services map[string]*[OutcomeCount]uint64
		routes   map[string]*routeCounts
		messages Messages
	}

	// routeCounts counts decisions on the flows of one route.
	routeCounts struct {
		name               string
		priority           int
		admitted, rejected uint64
	}

	// Messages counts what the entry has sent to allocators, and what remained unanswered.
	Messages struct {
		Requests, Timeouts, Bytes uint64
	}
)

var outcomeNames = [OutcomeCount]string{
	"own_counts", "credit", "granted", "waiting", "refused", "returning", "no_budget", "yielded", "link_full", "uncertain",
}

func (o Outcome) String() string { return outcomeNames[o] }

// Rejects reports whether the flow is rejected.
func (o Outcome) Rejects() bool {
	return o == Refused || o == RetryRejected || o == Unasked || o == Yielded || o == LinkFull || o == Uncertain
}

// add counts a decision.
func (c *Counts) add(f Flow, o Outcome) {
	if c.services == nil {
		c.services, c.routes = map[string]*[OutcomeCount]uint64{}, map[string]*routeCounts{}
	}
	if c.services[f.Service] == nil {
		c.services[f.Service] = &[OutcomeCount]uint64{}
	}
	c.services[f.Service][o]++
	r := c.routes[f.Route]
	if r == nil {
		r = &routeCounts{name: f.Route}
		c.routes[f.Route] = r
	}
	r.priority = f.Priority
	if o.Rejects() {
		r.rejected++
	} else {
		r.admitted++
	}
}

// Outcomes returns the number of decisions in load mode, by service and outcome.
func (a *Account) Outcomes() map[string][OutcomeCount]uint64 {
	all := make(map[string][OutcomeCount]uint64, len(a.counts.services))
	for name, counts := range a.counts.services {
		all[name] = *counts
	}
	return all
}

// Messages returns the counts of messages.
func (a *Account) Messages() Messages { return a.counts.messages }
