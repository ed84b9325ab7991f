package domain

import "testing"

// The measurements guard the bounds of section 2 of the design; see the measure
// functions.

func TestConvergence(t *testing.T) { measureConvergence(t) }

func TestControlBytes(t *testing.T) { measureBytes(t) }

func TestStoreCalls(t *testing.T) { measureStoreCalls(t) }

func TestControlCost(t *testing.T) { measureCost(t) }

// TestStormAtDistributor is listed in KNOWN-RED.txt.
func TestStormAtDistributor(t *testing.T) { measureMassRestart(t) }
