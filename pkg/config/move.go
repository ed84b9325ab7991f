package config

import "time"

// Move shifts the traffic of its service from one target version to another.
type Move struct {
	Name string `json:"name"`
	From string `json:"from"`
	To   string `json:"to"`
	// By is the deadline for shifting all traffic to the new version.
	By      time.Time `json:"by"`
	Caution Caution   `json:"caution,omitempty"`
	// Hold is how long the new version is still monitored and the old targets
	// are kept after the last step; 0 selects the default of the caution.
	Hold Duration `json:"hold,omitempty"`
}

// Caution selects the trade-off between the speed of a move and the confidence
// in its evaluation.
type Caution string

// Caution levels. The empty value means CautionNormal.
const (
	CautionLow    Caution = "low"
	CautionNormal Caution = "normal"
	CautionHigh   Caution = "high"
)
