package steer

import (
	"time"

	"oxbowsaddle/internal/document"
)

// excludedWhileCold reports whether the endpoint gets no new flows because it is cold and its
// service limits the request rate of cold endpoints. The limit applies to the sum over all
// entries, which don't know each other's rates, so no entry places new flows on such an endpoint
// until it is warm: of 89 entries that place one flow each in the same second, one would break a
// limit of 88. Warm endpoints take the flows, also those in other failure domains; if there are
// none, placeFlow resets new flows.
func (s *Steerer) excludedWhileCold(now time.Time, b *backend) bool {
	return b.isCold(now) && s.coldRates[b.Service] > 0
}

// coldRatesOf returns the cold rate limits of the services that have one.
func coldRatesOf(d *document.Document) map[string]float64 {
	rates := map[string]float64{}
	for _, service := range d.Services() {
		if service.ColdRate > 0 {
			rates[service.Name] = service.ColdRate
		}
	}
	return rates
}
