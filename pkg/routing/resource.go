package routing

// resource is a part of the configuration that versions share while it does not change.
type resource[T any] interface {
	name() string
	equal(other T) bool
}

func byName[T resource[T]](resources []T) map[string]T {
	named := make(map[string]T, len(resources))
	for _, r := range resources {
		named[r.name()] = r
	}
	return named
}

// reuseResources replaces the resources that are equal in the previous version by those of
// that version, so that several versions with many resources fit into memory.
func reuseResources[T resource[T]](previous map[string]T, next []T) {
	for i, r := range next {
		if old, ok := previous[r.name()]; ok && r.equal(old) {
			next[i] = old
		}
	}
}

// diffResources returns the changed resources and the names of the removed ones.
func diffResources[T resource[T]](old, next []T) (set []T, removed []string) {
	before := byName(old)
	for _, r := range next {
		if previous, ok := before[r.name()]; !ok || !r.equal(previous) {
			set = append(set, r)
		}
		delete(before, r.name())
	}
	for name := range before {
		removed = append(removed, name)
	}
	return set, removed
}

// applyResources returns the resources that result from changing and removing some.
func applyResources[T resource[T]](old, set []T, removed []string) []T {
	changed := make(map[string]bool, len(set)+len(removed))
	for _, name := range removed {
		changed[name] = true
	}
	for _, r := range set {
		changed[r.name()] = true
	}
	var next []T
	for _, r := range old {
		if !changed[r.name()] {
			next = append(next, r)
		}
	}
	return append(next, set...)
}
