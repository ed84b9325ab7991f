package domain

import (
	"fmt"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

// storeSizes are numbers of daemons for each of storeDomains domains.
func storeSizes() []int {
	if report.Full() {
		return []int{8, 16, 32, 64}
	}
	return []int{3, 4, 6, 8}
}

const storeDomains = 3

// measureStoreCalls emits the store calls per second at four sizes under
// churn, and their slope. The platform's rates grow more slowly than the
// fleet, so the calls must not grow in proportion to it.
func measureStoreCalls(t *testing.T) {
	for _, kind := range []string{"", "baseline, "} {
		var sizes, rates []float64
		for _, per := range storeSizes() {
			shape := domaintest.Shape{
				Domains: storeDomains, PerDomain: per, Services: 6, Depends: 2, Seed: judged[0], Wrap: limit,
			}
			domaintest.Run(t, shape, func(t *testing.T, f *domaintest.Fleet) {
				churnIt := startKind(f, kind)
				time.Sleep(quiet)
				calls := &f.Platform.(*platform).calls
				before := calls.Load()
				churnIt()
				rate := float64(calls.Load()-before) / minute.Seconds()
				sizes, rates = append(sizes, float64(len(f.Nodes))), append(rates, rate)
				emit(t, "store_calls", fmt.Sprintf("%s%d daemons", kind, len(f.Nodes)), judged[0], rate, "1/s", nil)
			})
		}
		last := len(sizes) - 1
		slope := (rates[last] - rates[0]) / (sizes[last] - sizes[0])
		emit(t, "store_calls", kind+"slope", judged[0], slope, "1/s per daemon", nil)
		growth := (rates[last] / rates[0]) / (sizes[last] / sizes[0])
		var bound *float64
		if kind == "" {
			bound = report.Bound(1)
		}
		emit(t, "store_calls", kind+"growth of calls over growth of the fleet", judged[0], growth, "ratio", bound)
	}
}

// startKind starts a fleet or its baseline and returns a minute of churn.
func startKind(f *domaintest.Fleet, kind string) func() {
	if kind == "" {
		f.Start()
		return func() { churn(f, minute) }
	}
	b := startBaseline(f)
	return func() {
		churnStore(f, minute)
		b.end()
	}
}
