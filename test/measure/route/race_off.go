//go:build !race

package route

// raceEnabled reports whether the race detector instruments the code. It slows
// a call several times over, so the bound on the added time is not judged then.
const raceEnabled = false
