package config

import "time"

// Move shifts the traffic of its service from one target version to another.
type Move struct {
	Name string `json:"name"`
	From string `json:"from"`
	To   string `json:"to"`
	// By is the time at which all traffic is to be on the new version.
	By      time.Time `json:"by"`
	Caution Caution   `json:"caution,omitempty"`
	// Hold is the time after the last step in which the new version is still
	// watched and the old targets are kept; 0 takes that of the caution.
	Hold Duration `json:"hold,omitempty"`
}

// Caution trades the speed of a move against the certainty of its verdict.
type Caution string

// Cautions. The empty value means CautionNormal.
const (
	CautionLow    Caution = "low"
	CautionNormal Caution = "normal"
	CautionHigh   Caution = "high"
)
