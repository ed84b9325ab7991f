package config

import (
	"encoding/json"
	"fmt"
	"strings"
)

const (
	// maxValueRunes is the length at which the value in a problem is truncated.
	maxValueRunes = 120
	// maxProblems is the maximum number of problems listed in one response.
	maxProblems = 1000
)

// Problem is one validation error in operator files.
type Problem struct {
	File string `json:"file"`
	// Path is the JSON path of the value, such as $.services[0].slots.
	Path string `json:"path"`
	// Value is the invalid value as JSON, truncated if it is long.
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
	// Allowed describes the values that are accepted.
	Allowed string `json:"allowed,omitempty"`
}

func (p Problem) String() string {
	text := fmt.Sprintf("%s: %s: %s", p.File, p.Path, p.Message)
	if p.Value != "" {
		text += "; value: " + p.Value
	}
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	return text
}

// ProblemsError lists the problems found in a set of operator files, at most
// maxProblems and the number of further ones.
type ProblemsError struct{ Problems []Problem }

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: files are refused:\n" + strings.Join(lines, "\n")
}

// limitProblems keeps a response within a few hundred KB by replacing the
// problems beyond maxProblems with their count. A file with that many problems
// is unlikely to be a configuration file at all.
func limitProblems(problems []Problem) []Problem {
	extra := len(problems) - maxProblems
	if extra <= 0 {
		return problems
	}
	last := Problem{File: "-", Path: "$", Message: fmt.Sprintf("%d more problems are not shown", extra)}
	return append(problems[:maxProblems:maxProblems], last)
}

// formatValue returns an invalid value as truncated JSON.
func formatValue(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return truncate(string(data))
}

func truncate(text string) string {
	runes := []rune(text)
	if len(runes) <= maxValueRunes {
		return text
	}
	return string(runes[:maxValueRunes]) + "..."
}
