package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff is the difference between two configurations.
type Diff struct {
	BaseVersion uint64 `json:"baseVersion"`
	// Teams and Services list the added, changed and removed items by name.
	Teams    []ItemDiff `json:"teams,omitempty"`
	Services []ItemDiff `json:"services,omitempty"`
	// AlreadyRemoved names the services that the files remove but that do not exist.
	AlreadyRemoved []string `json:"alreadyRemoved,omitempty"`
}

// DiffKind is the kind of change to a team or service.
type DiffKind string

// Kinds of differences.
const (
	DiffAdded   DiffKind = "added"
	DiffChanged DiffKind = "changed"
	DiffRemoved DiffKind = "removed"
)

// ItemDiff is the difference of one team or service.
type ItemDiff struct {
	Name string   `json:"name"`
	Kind DiffKind `json:"kind"`
	// TeamBefore and TeamAfter are the owners of a service in the two configurations.
	TeamBefore string        `json:"teamBefore,omitempty"`
	TeamAfter  string        `json:"teamAfter,omitempty"`
	Fields     []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one changed field. List elements are identified by their name,
// as in routes[place].deadline. Before is omitted for an added field and After
// for a removed one.
type FieldChange struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Empty reports whether the configurations are equal.
func (d *Diff) Empty() bool { return len(d.Teams) == 0 && len(d.Services) == 0 }

// Touched returns the sorted names of the manifest entries that differ.
func (d *Diff) Touched() []string {
	var names []string
	if len(d.Teams) > 0 {
		names = append(names, TeamsEntry)
	}
	for _, service := range d.Services {
		names = append(names, service.Name)
	}
	return names
}

// Text returns the difference as human-readable text.
func (d *Diff) Text() string {
	var b strings.Builder
	for _, team := range d.Teams {
		team.write(&b, "team")
	}
	for _, service := range d.Services {
		service.write(&b, "service")
	}
	for _, name := range d.AlreadyRemoved {
		fmt.Fprintf(&b, "  service %s does not exist, nothing to remove\n", name)
	}
	if d.Empty() {
		b.WriteString("no changes\n")
	}
	return b.String()
}

func (i *ItemDiff) write(b *strings.Builder, itemType string) {
	sign := map[DiffKind]string{DiffAdded: "+", DiffChanged: "~", DiffRemoved: "-"}[i.Kind]
	fmt.Fprintf(b, "%s %s %s\n", sign, itemType, i.Name)
	for _, field := range i.Fields {
		switch {
		case field.Before == nil:
			fmt.Fprintf(b, "    + %s: %s\n", field.Path, field.After)
		case field.After == nil:
			fmt.Fprintf(b, "    - %s: %s\n", field.Path, field.Before)
		default:
			fmt.Fprintf(b, "    ~ %s: %s -> %s\n", field.Path, field.Before, field.After)
		}
	}
}

// Compare returns the difference between two configurations.
func Compare(before, after *Configuration) Diff { return compare(before, after, &Change{}) }

func compare(before, after *Configuration, change *Change) Diff {
	d := Diff{BaseVersion: before.Version}
	d.Teams = compareItems(teamDocs(before.Teams), teamDocs(after.Teams))
	d.Services = compareItems(serviceDocs(before.Bundles), serviceDocs(after.Bundles))
	for i := range d.Services {
		item := &d.Services[i]
		if bundle, ok := before.Bundles[item.Name]; ok {
			item.TeamBefore = bundle.Service.Team
		}
		if bundle, ok := after.Bundles[item.Name]; ok {
			item.TeamAfter = bundle.Service.Team
		}
	}
	for _, name := range change.Removed {
		if _, ok := before.Bundles[name.Value]; !ok {
			d.AlreadyRemoved = append(d.AlreadyRemoved, name.Value)
		}
	}
	return d
}

func teamDocs(teams []Team) map[string][]byte {
	docs := map[string][]byte{}
	for _, team := range teams {
		docs[team.Name] = EncodeTeams([]Team{team})
	}
	return docs
}

func serviceDocs(bundles map[string]*Bundle) map[string][]byte {
	docs := map[string][]byte{}
	for name, bundle := range bundles {
		docs[name] = (&Bundle{Service: bundle.Service}).Encode()
	}
	return docs
}

func compareItems(before, after map[string][]byte) []ItemDiff {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	var items []ItemDiff
	for _, name := range slices.Compact(names) {
		oldDoc, inOld := before[name]
		newDoc, inNew := after[name]
		switch {
		case !inOld:
			items = append(items, ItemDiff{Name: name, Kind: DiffAdded, Fields: compareFields(nil, newDoc)})
		case !inNew:
			items = append(items, ItemDiff{Name: name, Kind: DiffRemoved})
		case !bytes.Equal(oldDoc, newDoc):
			items = append(items, ItemDiff{Name: name, Kind: DiffChanged, Fields: compareFields(oldDoc, newDoc)})
		}
	}
	return items
}

func compareFields(before, after []byte) []FieldChange {
	oldFields, newFields := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	flatten("", decodeItem(before), oldFields)
	flatten("", decodeItem(after), newFields)
	paths := slices.Collect(maps.Keys(oldFields))
	paths = slices.AppendSeq(paths, maps.Keys(newFields))
	slices.Sort(paths)
	var fields []FieldChange
	for _, path := range slices.Compact(paths) {
		if !bytes.Equal(oldFields[path], newFields[path]) {
			fields = append(fields, FieldChange{Path: path, Before: oldFields[path], After: newFields[path]})
		}
	}
	return fields
}

// decodeItem returns the item in a canonical encoding: {"service": item} or [item].
func decodeItem(data []byte) any {
	if data == nil {
		return nil
	}
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		panic("config: decode canonical encoding: " + err.Error()) // encoded by this package
	}
	if list, ok := doc.([]any); ok {
		return list[0]
	}
	return doc.(map[string]any)["service"]
}

// flatten adds the leaves of a document to leaves, by path. Lists of strings are
// leaves.
func flatten(path string, value any, leaves map[string]json.RawMessage) {
	switch value := value.(type) {
	case nil:
		return
	case map[string]any:
		for name, child := range value {
			if name == "name" && (path == "" || strings.HasSuffix(path, "]")) {
				continue // already part of the item or its path
			}
			flatten(strings.TrimPrefix(path+"."+name, "."), child, leaves)
		}
		return
	case []any:
		if named, ok := namedElements(value); ok {
			for name, child := range named {
				flatten(path+"["+name+"]", child, leaves)
			}
			return
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic("config: encode value: " + err.Error()) // was decoded from JSON
	}
	leaves[path] = data
}

func namedElements(list []any) (map[string]any, bool) {
	named := map[string]any{}
	for _, item := range list {
		object, _ := item.(map[string]any)
		name, ok := object["name"].(string)
		if !ok {
			return nil, false
		}
		named[name] = item
	}
	return named, true
}
