package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
)

// CautionSettings are the figures behind a caution.
type CautionSettings struct {
	// FalseAlarmRate bounds the probability that a good version is taken back
	// by the test, over the whole move and under continuous monitoring.
	FalseAlarmRate float64
	// MinEvidence is the number of attempts on the new version that a step needs.
	MinEvidence uint64
	// GoodEvidence is the number of attempts that a step waits for while there
	// is time, and that the hold time waits for within limits.
	GoodEvidence uint64
	// MinDwell and MaxDwell bound the time of a step.
	MinDwell, MaxDwell time.Duration
	// Hold is the time for which old targets are kept after the last step.
	Hold time.Duration
	// Suspicion is the e-value at which no further step is taken, if the
	// difference between the versions is also a material one.
	Suspicion float64
	// LatencyTolerance is the slowdown, in buckets, that is not a fault.
	LatencyTolerance int
}

// Settings returns the figures of a caution. The false alarm rates stay below
// the stated goal of 1 in 100. A high caution takes back on weaker
// evidence, but wants more of it before a step.
func Settings(c config.Caution) CautionSettings {
	switch c {
	case config.CautionLow:
		return CautionSettings{
			FalseAlarmRate: 0.001, MinEvidence: 8, GoodEvidence: 30, MinDwell: 10 * time.Second, MaxDwell: 2 * time.Minute,
			Hold: time.Minute, Suspicion: 20, LatencyTolerance: 3,
		}
	case config.CautionHigh:
		return CautionSettings{
			FalseAlarmRate: 0.008, MinEvidence: 20, GoodEvidence: 100, MinDwell: 30 * time.Second, MaxDwell: 10 * time.Minute,
			Hold: 5 * time.Minute, Suspicion: 4, LatencyTolerance: 2,
		}
	default:
		return CautionSettings{
			FalseAlarmRate: 0.002, MinEvidence: 12, GoodEvidence: 60, MinDwell: 20 * time.Second, MaxDwell: 5 * time.Minute,
			Hold: 2 * time.Minute, Suspicion: 8, LatencyTolerance: 2,
		}
	}
}
