package domain

import "testing"

// The measurements guard the bounds of design section 2; see their drivers.

func TestConvergence(t *testing.T) { measureConvergence(t) }

func TestControlBytes(t *testing.T) { measureBytes(t) }

func TestStoreCalls(t *testing.T) { measureStoreCalls(t) }

func TestControlCost(t *testing.T) { measureCost(t) }

// TestStormAtDistributor is listed in KNOWN-RED.txt.
func TestStormAtDistributor(t *testing.T) { measureStorm(t) }
