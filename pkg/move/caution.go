package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
)

// CautionSettings are the parameters of a caution level.
type CautionSettings struct {
	// FalseAlarmRate is the maximum probability that the test takes back a good
	// version, over the whole move and under continuous monitoring.
	FalseAlarmRate float64
	// MinEvidence is the number of attempts on the new version that a step needs.
	MinEvidence uint64
	// GoodEvidence is the number of attempts that a step waits for if the set time
	// allows. The hold time waits for twice as many, within limits.
	GoodEvidence uint64
	// MinDwell and MaxDwell bound the duration of a step.
	MinDwell, MaxDwell time.Duration
	// Hold is how long old targets are kept after the last step.
	Hold time.Duration
	// Suspicion is the e-value from which no further step is taken. An e-value just
	// above it has no effect if the failure rates hardly differ; see
	// Judge.suspicious.
	Suspicion float64
	// LatencyTolerance is the slowdown that is not counted as a fault, in buckets.
	LatencyTolerance int
}

// SettingsForCaution returns the settings of a caution level. The false alarm rates
// are below the required 1 in 100. A high caution takes a version back on weaker
// evidence, but needs more evidence for a step.
func SettingsForCaution(c config.Caution) CautionSettings {
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
