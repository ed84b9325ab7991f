package move

import "math"

// The alternatives of the mixture are odds ratios between the new and the old
// version: from twice the failures up to failures of the new version only.
var oddsRatios = [...]float64{2, 4, 16, 64}

// Shares of the mixture. The cash part makes no bet: it preserves the wealth
// while the versions are equal. After each informative window rebalance of the
// wealth is spread anew, so that a fault that begins late is found almost as
// fast as one at the start; the cost is a factor of about 1/rebalance once.
const (
	cashShare = 0.15
	betShare  = (1 - cashShare) / float64(len(oddsRatios))
	rebalance = 0.02
	// maxWealth keeps the product finite; every threshold is far below it.
	maxWealth = 1e100
)

// logRatios are the logarithms of the likelihood ratios of one window.
type logRatios [len(oddsRatios)]float64

// comparison holds the events (failures, slow answers) and attempts of the old
// and the new version in one window.
type comparison struct {
	events, attempts [2]uint64
}

// ratios returns the log likelihood ratios of the window's events. Their
// expectation is at most 1 for each alternative while the new version is no
// worse than the old one.
//
// In a window with many attempts the numbers of attempts and events are given,
// and the new version's events are drawn without replacement. Drawing with
// replacement, either of the events or of the attempts, has the larger
// expectation of ratio^events (Hoeffding 1963), so both bounds hold and the
// smaller one is used. In a window with few attempts each event is on the new
// version with at most the granted probability.
func (c comparison) ratios(granted float64) logRatios {
	var r logRatios
	events, attempts := float64(c.events[0]+c.events[1]), float64(c.attempts[0]+c.attempts[1])
	if events == 0 || c.attempts[1] == 0 && c.events[1] > 0 {
		return r
	}
	rich := attempts >= richWindow
	p := granted
	if rich {
		p = float64(c.attempts[1]) / attempts
	}
	if p <= 0 || p >= 1 {
		return r
	}
	for i, ratio := range oddsRatios {
		expected := events * math.Log1p(p*(ratio-1))
		if rich {
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

// wealth is a test by betting: a non-negative process with expectation at most
// its start while the new version is no worse than the old one, whenever it is
// looked at.
type wealth struct {
	cash float64
	bets [len(oddsRatios)]float64
}

func newWealth(start float64) *wealth {
	w := &wealth{cash: start * cashShare}
	for i := range w.bets {
		w.bets[i] = start * betShare
	}
	return w
}

func (w *wealth) value() float64 {
	v := w.cash
	for _, b := range w.bets {
		v += b
	}
	return v
}

// update settles the bets on one window and spreads part of the wealth anew.
func (w *wealth) update(r logRatios) {
	if !r.informative() {
		return
	}
	for i := range w.bets {
		w.bets[i] = math.Min(w.bets[i]*math.Exp(math.Min(r[i], 200)), maxWealth)
	}
	v := w.value()
	w.cash = (1-rebalance)*w.cash + rebalance*cashShare*v
	for i := range w.bets {
		w.bets[i] = (1-rebalance)*w.bets[i] + rebalance*betShare*v
	}
}
