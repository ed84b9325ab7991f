package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// FileError reports a settings file that cannot be read or decoded.
type FileError struct {
	File  string
	Path  string // JSON path of the setting; empty if unknown
	Cause error
}

func (e *FileError) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("settings: %s: %v", e.File, e.Cause)
	}
	return fmt.Sprintf("settings: %s: %s: %v", e.File, e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Problem describes one invalid setting.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// InvalidError reports all invalid settings of a file.
type InvalidError struct {
	File     string
	Problems []Problem
}

func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "settings: %s: %d invalid", e.File, len(e.Problems))
	for _, problem := range e.Problems {
		fmt.Fprintf(&text, "\n  %s: value %s is not allowed; allowed: %s", problem.Path, problem.Value, problem.Allowed)
	}
	return text.String()
}

// Load reads and validates the settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return Parse(file, data)
}

// Parse decodes and validates data, the content of the settings file, and applies
// the defaults. file is used in error messages only.
func Parse(file string, data []byte) (*Settings, error) {
	s := defaults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, &FileError{File: file, Path: jsonPath(err), Cause: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FileError{File: file, Cause: errors.New("unexpected content after the settings object")}
	}
	if problems := s.validate(); len(problems) > 0 {
		return nil, &InvalidError{File: file, Problems: problems}
	}
	return &s, nil
}

func jsonPath(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return "$." + typeError.Field
	}
	return ""
}
