package config

import (
	"cmp"
	"slices"
	"strings"
)

// Source is one operator file as it was written.
type Source struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// Placed is a value with the place in which a file defines it.
type Placed[T any] struct {
	Value T
	File  string
	Path  string
}

func (p Placed[T]) problem(path string, value any, message, allowed string) Problem {
	return Problem{File: p.File, Path: p.Path + path, Value: showValue(value), Message: message, Allowed: allowed}
}

// Change is what a set of operator files asks for.
type Change struct {
	Teams    []Placed[Team]
	Services []Placed[Service]
	Removed  []Placed[string]
	// incomplete is set when a part of the files could not be decoded. Checks
	// then do not report what may be defined in that part as missing.
	incomplete bool
}

// Names returns the sorted names of the services that the change replaces or
// removes, and TeamsEntry if it names teams.
func (c *Change) Names() []string {
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

// Decode decodes operator files. Parts without a problem are decoded even if
// others have one, so that all problems can be reported at once.
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
		problems = append(problems, change.add(source)...)
	}
	change.incomplete = len(problems) > 0
	return change, problems
}

func (c *Change) add(source Source) []Problem {
	doc, problems := scan(source)
	if doc == nil && len(problems) > 0 {
		return problems
	}
	problems = append(problems, checkSchema(source.Name, doc)...)
	root, ok := doc.(map[string]any)
	if !ok {
		return problems
	}
	bad := badItems(problems)
	problems = append(problems, decodeList(source.Name, root, "teams", bad, &c.Teams)...)
	problems = append(problems, decodeList(source.Name, root, "services", bad, &c.Services)...)
	problems = append(problems, decodeList(source.Name, root, "removedServices", bad, &c.Removed)...)
	for i := range c.Services {
		c.Services[i].Value.normalize()
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	return problems
}

// badItems returns the paths of the list items, such as $.services[3], in or
// below which there is a problem.
func badItems(problems []Problem) map[string]bool {
	bad := map[string]bool{}
	for _, p := range problems {
		if item, _, ok := strings.Cut(p.Path, "]"); ok {
			bad[item+"]"] = true
		}
	}
	return bad
}

func decodeList[T any](file string, root map[string]any, field string, bad map[string]bool, into *[]Placed[T]) []Problem {
	var problems []Problem
	list, _ := root[field].([]any)
	for i, item := range list {
		placed := Placed[T]{File: file, Path: itemPath("$."+field, i)}
		if bad[placed.Path] {
			continue
		}
		if err := decodeInto(item, &placed.Value); err != nil {
			problems = append(problems, placed.problem("", item, err.Error(), "see docs/schema/configuration.json"))
			continue
		}
		*into = append(*into, placed)
	}
	return problems
}

// normalize brings values that mean the same to the same form, so that they
// have the same digest.
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
