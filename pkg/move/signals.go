package move

// signal is a kind of event by which the versions are compared.
type signal int

const (
	signalErrors signal = iota
	signalMedian        // response slower than the old version's median
	signalTail          // response slower than the old version's 95th percentile
	signalCrashes
	signalCount
)

var signalNames = [signalCount]string{"errors", "latency", "tail latency", "crashes"}

// signalWeights are the initial e-values of the signals. They add up to 1, so
// that the sum of all e-processes is a single test whose false alarm rate holds for
// all signals and routes together. Errors have the largest weight because they
// matter most.
var signalWeights = [signalCount]float64{0.5, 0.15, 0.15, 0.2}

// Quantiles of the old version's latency that separate slow responses.
const (
	medianQuantile = 0.5
	tailQuantile   = 0.95
)

// evidenceTest holds the e-processes of all signals. Each signal is tested over
// all routes together, which finds a general fault soonest, and for each route
// alone, which finds a fault of one route.
type evidenceTest struct {
	pooled [signalCount]*eProcess
	routes [signalCount]map[string]*eProcess
}

func newEvidenceTest(routes []string) *evidenceTest {
	t := &evidenceTest{}
	for s := range signalCount {
		weight := signalWeights[s]
		if s == signalCrashes || len(routes) < 2 {
			t.pooled[s] = newEProcess(weight)
			continue
		}
		t.pooled[s] = newEProcess(weight / 2)
		t.routes[s] = map[string]*eProcess{}
		for _, route := range routes {
			t.routes[s][route] = newEProcess(weight / 2 / float64(len(routes)))
		}
	}
	return t
}

// window accumulates the log likelihood ratios of one observation.
type window struct {
	pooled [signalCount]logRatios
	routes [signalCount]map[string]logRatios
}

func (w *window) add(s signal, route string, r logRatios) {
	if !r.informative() {
		return
	}
	w.pooled[s].add(r)
	if w.routes[s] == nil {
		w.routes[s] = map[string]logRatios{}
	}
	sum := w.routes[s][route]
	sum.add(r)
	w.routes[s][route] = sum
}

func (t *evidenceTest) update(w *window) {
	for s := range signalCount {
		t.pooled[s].update(w.pooled[s])
		for route, r := range w.routes[s] {
			if process, ok := t.routes[s][route]; ok {
				process.update(r)
			}
		}
	}
}

// value returns the e-value of the whole test, and the signal and route that
// contribute most. The route is empty if the test of all routes together does.
func (t *evidenceTest) value() (e float64, strongest signal, route string) {
	best := -1.0
	for s := range signalCount {
		v := t.pooled[s].value()
		e += v
		if v > best {
			best, strongest, route = v, s, ""
		}
		for name, process := range t.routes[s] {
			v := process.value()
			e += v
			if v > best || (v == best && name < route) {
				best, strongest, route = v, s, name
			}
		}
	}
	return e, strongest, route
}
