package move

import "math"

// oddsRatios are the alternative hypotheses of the mixture: odds ratios of an
// event on the new to one on the old version, from twice the failures up to
// failures of the new version only.
var oddsRatios = [...]float64{2, 4, 16, 64}

// Weights of the mixture.
const (
	// nullWeight is the weight of the component with likelihood ratio 1. It
	// preserves the e-value while the versions are equal.
	nullWeight        = 0.15
	alternativeWeight = (1 - nullWeight) / float64(len(oddsRatios))
	// mixingRate is the fraction of the e-value that is redistributed by weight
	// after each informative window. A fault that begins late is found almost as
	// fast as one at the start, at the cost of one factor of about 1/mixingRate.
	mixingRate = 0.02
	// maxComponent keeps the products finite. It is far above every threshold.
	maxComponent = 1e100
)

// logRatios are the log likelihood ratios of one window, by alternative.
type logRatios [len(oddsRatios)]float64

// comparison holds the events (failures, slow responses, crashes) and attempts
// of the old and the new version in one window.
type comparison struct {
	events, attempts [2]uint64
}

// logLikelihoodRatios returns the log likelihood ratios of the window's events.
// While the new version is no worse than the old one, the likelihood ratio of
// each alternative has an expectation of at most 1.
//
// A window with at least minWindowAttempts attempts is tested conditional on its
// numbers of attempts and events: the new version's events are drawn without
// replacement. Drawing with replacement, either from the events or from the
// attempts, has the larger expectation of ratio^events (Hoeffding 1963), so both
// bounds hold and the smaller one is used. In a smaller window each event is on
// the new version with at most the granted probability.
func (c comparison) logLikelihoodRatios(granted float64) logRatios {
	var r logRatios
	events, attempts := float64(c.events[0]+c.events[1]), float64(c.attempts[0]+c.attempts[1])
	if events == 0 || c.attempts[1] == 0 && c.events[1] > 0 {
		return r
	}
	conditional := attempts >= minWindowAttempts
	p := granted
	if conditional {
		p = float64(c.attempts[1]) / attempts
	}
	if p <= 0 || p >= 1 {
		return r
	}
	for i, ratio := range oddsRatios {
		expected := events * math.Log1p(p*(ratio-1))
		if conditional {
			expected = math.Min(expected, float64(c.attempts[1])*math.Log1p(events/attempts*(ratio-1)))
		}
		r[i] = float64(c.events[1])*math.Log(ratio) - expected
	}
	return r
}

func (r *logRatios) add(o logRatios) {
	for i := range r {
		r[i] += o[i]
	}
}

func (r *logRatios) informative() bool { return *r != logRatios{} }

// eProcess is a sequential test: a non-negative process whose expectation at any
// stopping time is at most its initial value while the new version is no worse
// than the old one. It is a mixture of one component per alternative and a
// constant one.
type eProcess struct {
	null         float64
	alternatives [len(oddsRatios)]float64
}

func newEProcess(initial float64) *eProcess {
	p := &eProcess{null: initial * nullWeight}
	for i := range p.alternatives {
		p.alternatives[i] = initial * alternativeWeight
	}
	return p
}

func (p *eProcess) value() float64 {
	v := p.null
	for _, alternative := range p.alternatives {
		v += alternative
	}
	return v
}

// update multiplies the components by the likelihood ratios of one window, and
// redistributes a part of the e-value among them.
func (p *eProcess) update(r logRatios) {
	if !r.informative() {
		return
	}
	for i := range p.alternatives {
		p.alternatives[i] = math.Min(p.alternatives[i]*math.Exp(math.Min(r[i], 200)), maxComponent)
	}
	v := p.value()
	p.null = (1-mixingRate)*p.null + mixingRate*nullWeight*v
	for i := range p.alternatives {
		p.alternatives[i] = (1-mixingRate)*p.alternatives[i] + mixingRate*alternativeWeight*v
	}
}
