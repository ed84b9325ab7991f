package proxy

import "nutmegstand.example/nutmegstand/pkg/routing"

// pickService returns the service of a weighted split at a position in [0, 1).
func pickService(split []routing.Share, position float64) string {
	total := 0.0
	for _, share := range split {
		total += share.Weight
	}
	at := position * total
	for _, share := range split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return split[len(split)-1].Service
}
