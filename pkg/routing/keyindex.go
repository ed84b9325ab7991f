package routing

import "slices"

// keyIndex maps the digests of keys to the names of their workspaces. It is immutable. A
// new version shares the parts in which no key was added, removed or moved; changed
// limits of a workspace change none.
type keyIndex struct {
	parts [keyIndexParts]map[KeyDigest]string // by the first byte of the digest
}

// keyIndexParts is the number of values of the first byte of a digest. A part has about
// 40 of 10,000 keys, so that a change of one key copies few others.
const keyIndexParts = 256

// keyParts is a set of parts of an index.
type keyParts [keyIndexParts]bool

func (p *keyParts) add(keys []KeyDigest) (added bool) {
	for _, key := range keys {
		p[key[0]] = true
	}
	return len(keys) > 0
}

// addChanged adds the parts that differ between two lists of keys.
func (p *keyParts) addChanged(old, next []KeyDigest) (added bool) {
	if slices.Equal(old, next) {
		return false
	}
	same := make(map[KeyDigest]bool, len(old)) // false: not in next
	for _, key := range old {
		same[key] = false
	}
	for _, key := range next {
		if _, ok := same[key]; ok {
			same[key] = true
		} else {
			p[key[0]], added = true, true
		}
	}
	for key, kept := range same {
		if !kept {
			p[key[0]], added = true, true
		}
	}
	return added
}

// newKeyIndex returns the index of all keys.
func newKeyIndex(workspaces []*Workspace) *keyIndex {
	return (&keyIndex{}).replace(&keyParts{}, workspaces, true)
}

// update returns the index after a change of the workspaces from old, the index itself
// if no key has changed.
func (x *keyIndex) update(old map[string]*Workspace, next []*Workspace) *keyIndex {
	parts, changed, kept := &keyParts{}, false, make(map[string]bool, len(next))
	for _, w := range next {
		kept[w.Name] = true
		if previous := old[w.Name]; previous == nil {
			changed = parts.add(w.Keys) || changed
		} else if previous != w {
			changed = parts.addChanged(previous.Keys, w.Keys) || changed
		}
	}
	for name, w := range old {
		if !kept[name] {
			changed = parts.add(w.Keys) || changed
		}
	}
	if !changed {
		return x
	}
	return x.replace(parts, next, false)
}

// replace returns the index with the given parts, or all of them, built anew. A key of
// several workspaces belongs to the first of them by name, at all daemons alike.
func (x *keyIndex) replace(parts *keyParts, workspaces []*Workspace, all bool) *keyIndex {
	next := &keyIndex{parts: x.parts}
	for i := range next.parts {
		if parts[i] {
			next.parts[i] = nil
		}
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			if all || parts[key[0]] {
				next.insert(key, w.Name)
			}
		}
	}
	return next
}

func (x *keyIndex) insert(key KeyDigest, name string) {
	part := &x.parts[key[0]]
	if *part == nil {
		*part = make(map[KeyDigest]string)
	}
	if other, ok := (*part)[key]; !ok || name < other {
		(*part)[key] = name
	}
}

func (x *keyIndex) find(key KeyDigest) (name string, ok bool) {
	name, ok = x.parts[key[0]][key]
	return name, ok
}
