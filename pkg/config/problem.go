package config

import (
	"encoding/json"
	"fmt"
	"strings"
)

const (
	// maxShownValue bounds the offending value shown in a problem.
	maxShownValue = 120
	// maxProblems bounds the problems shown at once.
	maxProblems = 1000
)

// Problem is one reason why operator files are refused.
type Problem struct {
	File string `json:"file"`
	// Path is the JSON path of the value, such as $.services[0].slots.
	Path string `json:"path"`
	// Value is the offending value as JSON, shortened if it is long.
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
	// Allowed tells what is accepted in its place.
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

// ProblemsError lists every problem found in a set of operator files.
type ProblemsError struct{ Problems []Problem }

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: files are refused:\n" + strings.Join(lines, "\n")
}

// limitProblems keeps an answer within a few hundred KB. A file with so many
// problems was not written for this program.
func limitProblems(problems []Problem) []Problem {
	extra := len(problems) - maxProblems
	if extra <= 0 {
		return problems
	}
	last := Problem{File: "-", Path: "$", Message: fmt.Sprintf("%d more problems are not shown", extra)}
	return append(problems[:maxProblems:maxProblems], last)
}

// showValue renders an offending value.
func showValue(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return shorten(string(data))
}

func shorten(text string) string {
	runes := []rune(text)
	if len(runes) <= maxShownValue {
		return text
	}
	return string(runes[:maxShownValue]) + "..."
}
