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
	Path  string // JSON path, empty if it is not known
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

// Problem is one setting that is not allowed.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// InvalidError lists every setting that is not allowed.
type InvalidError struct {
	File     string
	Problems []Problem
}

func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %s: %d invalid", e.File, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s: value %s is not allowed; allowed: %s", p.Path, p.Value, p.Allowed)
	}
	return b.String()
}

// Load reads and checks the settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return Parse(file, data)
}

// Parse checks settings that were read from file.
func Parse(file string, data []byte) (*Settings, error) {
	s := defaults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, &FileError{File: file, Path: pathOf(err), Cause: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FileError{File: file, Cause: errors.New("content after the settings object")}
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, &InvalidError{File: file, Problems: problems}
	}
	return &s, nil
}

func pathOf(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return "$." + typeError.Field
	}
	return ""
}
