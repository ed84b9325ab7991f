//go:build race

package route

// raceEnabled reports whether the race detector is enabled. It slows calls down
// several times, so the bound on the added time is not checked then.
const raceEnabled = true
