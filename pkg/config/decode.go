package config

import (
	"cmp"
	"slices"
	"strings"
)

// Source is one operator file as submitted, before decoding.
type Source struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// Located is a value with the file and JSON path that define it.
type Located[T any] struct {
	Value T
	File  string
	Path  string
}

func (p Located[T]) problem(path string, value any, message, allowed string) Problem {
	return Problem{File: p.File, Path: p.Path + path, Value: formatValue(value), Message: message, Allowed: allowed}
}

// Change is the decoded content of a set of operator files.
type Change struct {
	Teams    []Located[Team]
	Services []Located[Service]
	Removed  []Located[string]
	// incomplete is set if a part of the files could not be decoded. References
	// between teams and services are not checked then, since that part may define
	// the missing ones.
	incomplete bool
}

// EntryNames returns the sorted names of the manifest entries that the files
// define or remove: the services, and TeamsEntry if the files define teams.
func (c *Change) EntryNames() []string {
	var names []string
	for _, service := range c.Services {
		names = append(names, service.Value.Name)
	}
	for _, name := range c.Removed {
		names = append(names, name.Value)
	}
	if len(c.Teams) > 0 {
		names = append(names, TeamsEntry)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Decode decodes operator files. List items without a problem are decoded even
// if others have one, so that all problems can be reported at once.
func Decode(sources []Source) (*Change, []Problem) {
	change := &Change{}
	var problems []Problem
	if len(sources) == 0 {
		problems = append(problems, Problem{Path: "$", Message: "no files are given", Allowed: "at least one file"})
	}
	seen := map[string]bool{}
	for _, source := range sources {
		if seen[source.Name] {
			problems = append(problems, Problem{File: source.Name, Path: "$", Message: "file name is repeated", Allowed: "different names"})
		}
		seen[source.Name] = true
		problems = append(problems, change.addSource(source)...)
	}
	change.incomplete = len(problems) > 0
	return change, problems
}

func (c *Change) addSource(source Source) []Problem {
	doc, problems := scan(source)
	if doc == nil && len(problems) > 0 {
		return problems
	}
	problems = append(problems, checkSchema(source.Name, doc)...)
	root, ok := doc.(map[string]any)
	if !ok {
		return problems
	}
	invalid := invalidItems(problems)
	problems = append(problems, decodeList(source.Name, root, "teams", invalid, &c.Teams)...)
	problems = append(problems, decodeList(source.Name, root, "services", invalid, &c.Services)...)
	problems = append(problems, decodeList(source.Name, root, "removedServices", invalid, &c.Removed)...)
	for i := range c.Services {
		c.Services[i].Value.normalize()
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	return problems
}

// invalidItems returns the paths of the list items, such as $.services[3], that
// contain a problem.
func invalidItems(problems []Problem) map[string]bool {
	invalid := map[string]bool{}
	for _, p := range problems {
		if item, _, ok := strings.Cut(p.Path, "]"); ok {
			invalid[item+"]"] = true
		}
	}
	return invalid
}

func decodeList[T any](file string, root map[string]any, field string, invalid map[string]bool, items *[]Located[T]) []Problem {
	var problems []Problem
	list, _ := root[field].([]any)
	for i, item := range list {
		located := Located[T]{File: file, Path: itemPath("$."+field, i)}
		if invalid[located.Path] {
			continue
		}
		if err := decodeInto(item, &located.Value); err != nil {
			problems = append(problems, located.problem("", item, err.Error(), "see docs/schema/configuration.json"))
			continue
		}
		*items = append(*items, located)
	}
	return problems
}

// normalize converts equivalent values to one canonical form, so that they have
// the same digest.
func (s *Service) normalize() {
	for i := range s.Moves {
		s.Moves[i].By = s.Moves[i].By.UTC()
		if s.Moves[i].Caution == CautionNormal {
			s.Moves[i].Caution = ""
		}
	}
	for i := range s.Routes {
		route := &s.Routes[i]
		slices.Sort(route.Methods)
		if route.Limits != nil && route.Limits.PerMember == nil {
			route.Limits = nil
		}
	}
	slices.Sort(s.DependsOn)
}
