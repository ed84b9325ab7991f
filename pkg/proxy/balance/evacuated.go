package balance

// AllEvacuated reports whether all targets are in evacuated failure domains, so that a
// request need not wait for one of them.
func AllEvacuated(endpoints []*Endpoint) bool {
	for _, e := range endpoints {
		if !e.Evacuated {
			return false
		}
	}
	return len(endpoints) > 0
}
