package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimeLeft guards against values of a caller that are no time, and that become a
// deadline in the past or in the far future.
func TestTimeLeft(t *testing.T) {
	for value, want := range map[string]time.Duration{"1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond, "-3": -3 * time.Millisecond} {
		got, ok := parseTimeLeft(value)
		assert.Assert(t, ok && got == want, "%s: %v", value, got)
	}
	for _, value := range []string{"", "x", "NaN", "Inf", "-Inf", "1e300", "9223372036854775807"} {
		_, ok := parseTimeLeft(value)
		assert.Assert(t, !ok, "%s", value)
	}
}
