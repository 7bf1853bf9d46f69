package health

import "slices"

// median returns the upper median of values, or 0 if there are none. It sorts
// values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
