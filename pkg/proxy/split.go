package proxy

import (
	"math/rand/v2"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

// pickService returns a service of a weighted split, chosen at random.
func pickService(split []routing.Share) string {
	total := 0.0
	for _, share := range split {
		total += share.Weight
	}
	at := rand.Float64() * total
	for _, share := range split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return split[len(split)-1].Service
}
