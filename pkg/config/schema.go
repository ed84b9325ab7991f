package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"nutmegstand.example/nutmegstand/docs/schema"
)

const schemaURL = "https://nutmegstand.example/schema/configuration.json"

// fileSchema is the compiled schema and its document. Problems quote the
// descriptions in the document.
type fileSchema struct {
	compiled *jsonschema.Schema
	document any
}

var loadSchema = sync.OnceValue(func() *fileSchema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema.Configuration))
	if err != nil {
		panic("config: embedded schema: " + err.Error()) // embedded at build time and tested
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic("config: embedded schema: " + err.Error())
	}
	return &fileSchema{compiled: compiler.MustCompile(schemaURL), document: document}
})

var printer = message.NewPrinter(language.English)

// checkSchema validates a document against the schema and returns the problems.
func checkSchema(file string, doc any) []Problem {
	s := loadSchema()
	err := s.compiled.Validate(doc)
	if err == nil {
		return nil
	}
	failure, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []Problem{{File: file, Path: "$", Message: err.Error()}}
	}
	return s.problems(file, doc, failure)
}

// problems returns one problem for each leaf of the tree of validation errors.
func (s *fileSchema) problems(file string, doc any, failure *jsonschema.ValidationError) []Problem {
	if len(failure.Causes) > 0 {
		var problems []Problem
		for _, cause := range failure.Causes {
			problems = append(problems, s.problems(file, doc, cause)...)
		}
		return problems
	}
	value, path := locate(doc, failure.InstanceLocation)
	if extra, ok := failure.ErrorKind.(*kind.AdditionalProperties); ok {
		return unknownFields(file, path, value, extra.Properties, s.fields(failure.SchemaURL))
	}
	p := Problem{
		File: file, Path: path, Value: formatValue(value),
		Message: failure.ErrorKind.LocalizedString(printer),
		Allowed: s.allowed(failure),
	}
	if _, ok := failure.ErrorKind.(*kind.Required); ok {
		p.Value = ""
	}
	return []Problem{p}
}

func unknownFields(file, path string, value any, names, defined []string) []Problem {
	object, _ := value.(map[string]any)
	slices.Sort(names)
	var problems []Problem
	for _, name := range names {
		problems = append(problems, Problem{
			File: file, Path: memberPath(path, name), Value: formatValue(object[name]),
			Message: "unknown field", Allowed: strings.Join(defined, ", "),
		})
	}
	return problems
}

func (s *fileSchema) allowed(failure *jsonschema.ValidationError) string {
	node := s.node(failure.SchemaURL)
	switch k := failure.ErrorKind.(type) {
	case *kind.Type:
		if text, ok := node["description"].(string); ok {
			return text
		}
		return strings.Join(k.Want, " or ")
	case *kind.Enum:
		return strings.Trim(formatValue(k.Want), "[]")
	case *kind.Required:
		return "all of " + strings.Join(k.Missing, ", ")
	default:
		text, _ := node["description"].(string)
		return text
	}
}

// fields returns the sorted names of the fields that the schema at url defines.
func (s *fileSchema) fields(url string) []string {
	properties, _ := s.node(url)["properties"].(map[string]any)
	var names []string
	for name := range properties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// node returns the part of the schema document that a schema URL points to.
func (s *fileSchema) node(url string) map[string]any {
	_, pointer, _ := strings.Cut(url, "#")
	current, _ := s.document.(map[string]any)
	for _, name := range strings.Split(strings.Trim(pointer, "/"), "/") {
		if name == "" {
			continue
		}
		current, _ = current[name].(map[string]any)
	}
	return current
}

// locate resolves an instance location and returns the value and its JSON path.
func locate(doc any, location []string) (any, string) {
	path := "$"
	for _, part := range location {
		switch container := doc.(type) {
		case map[string]any:
			doc, path = container[part], memberPath(path, part)
		case []any:
			index, err := strconv.Atoi(part)
			if err != nil || index >= len(container) {
				return nil, path
			}
			doc, path = container[index], itemPath(path, index)
		}
	}
	return doc, path
}

// decodeInto converts a validated part of a document to its Go type.
func decodeInto(part, target any) error {
	data, err := json.Marshal(part)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
