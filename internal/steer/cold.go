package steer

import (
	"time"

	"oxbowsaddle/internal/document"
)

// excludedWhileCold reports whether new flows leave an endpoint alone while it is cold. Where
// its service bounds how many requests a second a cold endpoint carries, the bound is
// on the sum over all entries, and an entry does not know what the others send: of 89
// entries that send it one flow each in the same second, one would break a bound of
// 88. So none sends any as long as it is cold, for some seconds after its start; the
// endpoints that are warm take the flows, in other failure domains too. Where no warm
// one is left, new flows are reset at once.
func (s *Steerer) excludedWhileCold(now time.Time, b *backend) bool {
	return b.isCold(now) && s.coldRates[b.Service] > 0
}

// coldRatesOf returns the bounds on cold endpoints, of the services that have one.
func coldRatesOf(d *document.Document) map[string]float64 {
	rates := map[string]float64{}
	for _, service := range d.Services() {
		if service.ColdRate > 0 {
			rates[service.Name] = service.ColdRate
		}
	}
	return rates
}
