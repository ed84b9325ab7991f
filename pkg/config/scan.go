package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"
)

const (
	// MaxFileBytes is the size limit of one operator file. It equals the 1 MB
	// limit for one value in the store, and valid services are far smaller.
	MaxFileBytes = 1 << 20
	// maxDepth is the nesting limit of a file; a valid file has at most 8 levels.
	maxDepth = 16
	// maxElements is the size limit of one list and maxMembers that of one object.
	// They prevent a file within MaxFileBytes from occupying a daemon with one
	// problem for each of up to 300,000 elements. The schema allows at most 2000
	// elements and 9 members.
	maxElements = 2000
	maxMembers  = 200
)

// numberPattern excludes exponents, because a few characters such as 3e999999999
// would denote a number with a billion digits.
var numberPattern = regexp.MustCompile(`^-?[0-9]{1,15}(\.[0-9]{1,9})?$`)

// scanner decodes one file into a generic document and reports constructs that
// encoding/json accepts but operator files must not contain.
type scanner struct {
	file     string
	decoder  *json.Decoder
	problems []Problem
}

// scan returns the document of a file, or nil if the file is not valid JSON or
// exceeds a limit.
func scan(source Source) (any, []Problem) {
	s := &scanner{file: source.Name}
	if len(source.Content) > MaxFileBytes {
		s.report("$", "", fmt.Sprintf("file has %d bytes", len(source.Content)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil, s.problems
	}
	if !utf8.Valid(source.Content) {
		s.report("$", "", "file is not valid UTF-8", "UTF-8 text")
		return nil, s.problems
	}
	var raw json.RawMessage
	if err := json.Unmarshal(source.Content, &raw); err != nil {
		s.report("$", "", syntaxMessage(source.Content, err), "one JSON object")
		return nil, s.problems
	}
	s.decoder = json.NewDecoder(bytes.NewReader(source.Content))
	s.decoder.UseNumber()
	doc, ok := s.value("$", 1)
	if !ok {
		return nil, s.problems
	}
	return doc, s.problems
}

func (s *scanner) report(path, value, message, allowed string) {
	s.problems = append(s.problems, Problem{File: s.file, Path: path, Value: value, Message: message, Allowed: allowed})
}

// value reads the next value. It returns false if the scan cannot continue.
func (s *scanner) value(path string, depth int) (any, bool) {
	token, err := s.decoder.Token()
	if err != nil {
		s.report(path, "", err.Error(), "one JSON object")
		return nil, false
	}
	if depth > maxDepth {
		s.report(path, "", "value is nested too deep", fmt.Sprintf("at most %d levels", maxDepth))
		return nil, false
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return s.object(path, depth)
		}
		return s.array(path, depth)
	case json.Number:
		return s.number(path, token), true
	default:
		return token, true
	}
}

func (s *scanner) object(path string, depth int) (any, bool) {
	object := map[string]any{}
	members := 0
	for s.decoder.More() {
		token, err := s.decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			s.report(path, "", "object has no valid key", "a string")
			return nil, false
		}
		child := memberPath(path, name)
		if members++; members > maxMembers {
			s.report(path, "", "object has too many members", fmt.Sprintf("at most %d", maxMembers))
			return nil, false
		}
		value, ok := s.value(child, depth+1)
		if !ok {
			return nil, false
		}
		if _, exists := object[name]; exists {
			s.report(child, formatValue(value), "key is repeated", "each key once")
			continue
		}
		object[name] = value
	}
	_, err := s.decoder.Token()
	return object, err == nil
}

func (s *scanner) array(path string, depth int) (any, bool) {
	array := []any{}
	for s.decoder.More() {
		if len(array) == maxElements {
			s.report(path, "", "list has too many elements", fmt.Sprintf("at most %d", maxElements))
			return nil, false
		}
		value, ok := s.value(itemPath(path, len(array)), depth+1)
		if !ok {
			return nil, false
		}
		array = append(array, value)
	}
	_, err := s.decoder.Token()
	return array, err == nil
}

// number removes a fraction that consists of zeros, because 2.0 is an integer for
// the schema but not for encoding/json.
func (s *scanner) number(path string, n json.Number) json.Number {
	if !numberPattern.MatchString(n.String()) {
		s.report(path, truncate(n.String()), "number is too long or has an exponent",
			"at most 15 digits, and 9 after the point")
		return "0"
	}
	if strings.Contains(n.String(), ".") {
		n = json.Number(strings.TrimSuffix(strings.TrimRight(n.String(), "0"), "."))
	}
	return n
}

func syntaxMessage(content []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	end := min(int(syntax.Offset), len(content))
	line := 1 + bytes.Count(content[:end], []byte("\n"))
	column := end - (bytes.LastIndexByte(content[:end], '\n') + 1)
	return fmt.Sprintf("line %d, column %d: %v", line, column, err)
}

var identifierPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

func memberPath(path, name string) string {
	if identifierPattern.MatchString(name) {
		return path + "." + name
	}
	return path + "[" + formatValue(name) + "]"
}

func itemPath(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }
