package credit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// Knowledge is what a decision on a new flow rests on.
type Knowledge struct {
	Service  string
	Priority int
	Requests float64       // own requests in progress, averaged
	Share    float64       // own share of the slots
	Count    int           // credits and requests in the pools, according to their last replies
	Slots    int           // slots of these pools
	Age      time.Duration // of the oldest of these replies, 0 if there is none
	Refusals float64       // share of refusals among the last answers for the priority
}

// String describes the knowledge to operators.
func (k Knowledge) String() string {
	text := fmt.Sprintf("service %s, priority %d: %.1f own requests in progress of a share of %.1f slots", k.Service, k.Priority, k.Requests, k.Share)
	if k.Slots == 0 {
		return text + ", no recent reply of an allocator that knows its endpoints"
	}
	return text + fmt.Sprintf(", %d of %d slots in use as of %s ago, %.0f%% of requests refused in the last second",
		k.Count, k.Slots, k.Age.Round(time.Millisecond), 100*k.Refusals)
}

// Knowledge returns what a decision on a flow rests on now.
func (a *Account) Knowledge(now time.Time, f Flow) Knowledge {
	s := a.service(f.Service)
	k := Knowledge{Service: f.Service, Priority: f.Priority, Requests: s.average, Share: a.share(now, s)}
	if p := s.priorities[f.Priority]; p != nil && now.Sub(p.answerAt) < knowledgeLifetime {
		k.Refusals = p.refusal
	}
	for _, domain := range f.Domains {
		p := a.pools[poolKey{f.Service, domain}]
		if p == nil || now.Sub(p.heardAt) >= knowledgeLifetime {
			continue
		}
		k.Count, k.Slots, k.Age = k.Count+p.slots-p.room, k.Slots+p.slots, max(k.Age, now.Sub(p.heardAt))
	}
	return k
}

// Loaded reports whether load mode is on for a service.
func (a *Account) Loaded(service string) bool {
	s := a.services[service]
	return s != nil && s.loaded
}

// LoadedServices returns the number of services in load mode.
func (a *Account) LoadedServices() int { return a.loaded }

// Services returns the state of the services, by name.
func (a *Account) Services(now time.Time) (all []*wire.ServiceLoad) {
	for name, s := range a.services {
		m := &wire.ServiceLoad{Service: name, Loaded: s.loaded, Requests: s.average, Share: a.share(now, s), AgeNanos: -1}
		if !s.heardAt.IsZero() {
			m.AgeNanos = int64(now.Sub(s.heardAt))
		}
		for key, p := range a.pools {
			if key.service != name {
				continue
			}
			for _, h := range p.credited {
				m.Credits += uint32(h.credits)
				m.Idle += uint32(max(0, h.credits-h.inProgress))
			}
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y *wire.ServiceLoad) int { return cmp.Compare(x.Service, y.Service) })
	return all
}

// Routes returns the number of flows admitted and rejected in load mode, by route.
func (a *Account) Routes() (all []*wire.RouteAdmission) {
	for _, r := range a.counts.routes {
		all = append(all, &wire.RouteAdmission{Route: r.name, Priority: int32(r.priority), Admitted: r.admitted, Rejected: r.rejected})
	}
	slices.SortFunc(all, func(x, y *wire.RouteAdmission) int { return cmp.Compare(x.Route, y.Route) })
	return all
}
