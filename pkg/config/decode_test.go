package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/docs/schema"
)

var testNow = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// validFile defines a team and two services, of which orders depends on stock.
const validFile = `{
  "teams": [{"name": "sales"}],
  "services": [
    {"name": "orders", "team": "sales", "version": "v1", "slots": 10, "connections": 130, "dependsOn": ["stock"],
     "routes": [{"name": "place", "host": "o.example", "path": "/orders", "methods": ["POST"], "idempotent": false, "deadline": "2s"}],
     "moves": [{"name": "m1", "from": "v1", "to": "v2", "by": "2027-01-10T05:00:00+02:00", "caution": "normal"}]},
    {"name": "stock", "team": "sales", "version": "v1", "slots": 10, "connections": 130,
     "routes": [{"name": "look", "host": "s.example", "path": "/stock", "methods": ["HEAD", "GET"], "idempotent": true, "deadline": "250ms", "retry": {"attempts": 3}}]}
  ]}`

func propose(t testing.TB, current *Configuration, files ...string) (*Proposal, []Problem) {
	t.Helper()
	var sources []Source
	for i, file := range files {
		sources = append(sources, Source{Name: fmt.Sprintf("f%d.json", i), Content: []byte(file)})
	}
	proposal, err := Propose(current, sources, Options{Now: testNow})
	if err == nil {
		return proposal, nil
	}
	problems, ok := err.(*ProblemsError)
	assert.Assert(t, ok, "%T %v", err, err)
	return nil, problems.Problems
}

// TestProblems guards against accepting a file that violates a rule, and against a
// problem without its path, its value or the allowed values.
func TestProblems(t *testing.T) {
	edit := func(old, replacement string) string {
		assert.Equal(t, strings.Count(validFile, old), 1, old)
		return strings.Replace(validFile, old, replacement, 1)
	}
	cases := []struct{ name, file, path, value, message string }{
		{"not JSON", `{"teams": [}`, "$", "", "line 1, column 12"},
		{"empty", ``, "$", "", "unexpected end"},
		{"trailing content", validFile + `{}`, "$", "", "after top-level value"},
		{"duplicate key", edit(`"slots": 10, "connections": 130, "dependsOn"`, `"slots": 10, "slots": 9, "connections": 130, "dependsOn"`), "$.services[0].slots", "9", "repeated"},
		{"unknown field", edit(`"name": "m1"`, `"nmae": 1, "name": "m1"`), "$.services[0].moves[0].nmae", "1", "unknown field"},
		{"wrong letter case", edit(`"teams"`, `"Teams"`), "$.Teams", `[{"name":"sales"}]`, "unknown field"},
		{"wrong type", edit(`"deadline": "250ms"`, `"deadline": 250`), "$.services[1].routes[0].deadline", "250", "want string"},
		{"fraction", edit(`{"attempts": 3}`, `{"attempts": 2.5}`), "$.services[1].routes[0].retry.attempts", "2.5", "want integer"},
		{"exponent", edit(`{"attempts": 3}`, `{"attempts": 3e999999999}`), "$.services[1].routes[0].retry.attempts", "3e999999999", "exponent"},
		{"missing field", edit(`"idempotent": true, `, ``), "$.services[1].routes[0]", "", "missing property 'idempotent'"},
		{"invalid name", edit(`"name": "place"`, `"name": "a/b"`), "$.services[0].routes[0].name", `"a/b"`, "does not match pattern"},
		{"invalid time", edit(`2027-01-10T05`, `2027-02-30T05`), "$.services[0].moves[0].by", `"2027-02-30T05:00:00+02:00"`, "date-time"},
		{"past time", edit(`2027-01-10`, `2026-01-10`), "$.services[0].moves[0].by", `"2026-01-10T03:00:00Z"`, "out of bounds"},
		{"zero deadline", edit(`"250ms"`, `"0s"`), "$.services[1].routes[0].deadline", `"0s"`, "out of bounds"},
		{"long deadline", edit(`"250ms"`, `"61s"`), "$.services[1].routes[0].deadline", `"1m1s"`, "out of bounds"},
		{"deadline too short for the attempts", edit(`"250ms"`, `"14ms"`), "$.services[1].routes[0].retry.attempts", "3", "too short"},
		{"one attempt", edit(`{"attempts": 3}`, `{"attempts": 1}`), "$.services[1].routes[0].retry.attempts", "1", "minimum"},
		{"fewer connections than slots", edit(`"connections": 130,
`, `"connections": 9,
`), "$.services[1].connections", "9", "fewer connections"},
		{"unknown team", edit(`"name": "stock", "team": "sales"`, `"name": "stock", "team": "shop"`), "$.services[1].team", `"shop"`, "team does not exist"},
		{"unknown dependency", edit(`["stock"]`, `["stok"]`), "$.services[0].dependsOn[0]", `"stok"`, "service does not exist"},
		{"dependency on itself", edit(`["stock"]`, `["orders"]`), "$.services[0].dependsOn[0]", `"orders"`, "depends on itself"},
		{"move from another version", edit(`"from": "v1"`, `"from": "v0"`), "$.services[0].moves[0].from", `"v0"`, "does not begin"},
		{"move to itself", edit(`"to": "v2"`, `"to": "v1"`), "$.services[0].moves[0].to", `"v1"`, "begins with"},
		{"same service twice", edit(`"name": "stock", "team"`, `"name": "orders", "team"`), "$.services[1].name", `"orders"`, "also defined at f0.json $.services[0]"},
		{"overlapping routes", edit(`"host": "s.example", "path": "/stock", "methods": ["HEAD", "GET"]`, `"host": "o.example", "path": "/orders"`), "$.services[1].routes[0]", `"o.example/orders"`, "POST calls also match"},
		{"defined and removed", edit(`"teams"`, `"removedServices": ["orders"], "teams"`), "$.removedServices[0]", `"orders"`, "removed and defined"},
		{"trailing slash", edit(`"/stock"`, `"/stock/"`), "$.services[1].routes[0].path", `"/stock/"`, "does not match pattern"},
		{"deep nesting", strings.Repeat("[", 100) + strings.Repeat("]", 100), "$" + strings.Repeat("[0]", maxDepth), "", "nested too deep"},
		{"invalid UTF-8", "{\"teams\": [\"\xff\"]}", "$", "", "UTF-8"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := propose(t, &Configuration{}, c.file)
			index := slices.IndexFunc(problems, func(p Problem) bool {
				return p.Path == c.path && strings.Contains(p.Message, c.message)
			})
			assert.Assert(t, index >= 0, "%v", problems)
			assert.Equal(t, problems[index].File, "f0.json")
			assert.Equal(t, problems[index].Value, c.value)
			assert.Assert(t, problems[index].Allowed != "")
		})
	}
}

// TestAllProblemsAtOnce guards against reporting only a part of the problems, so
// that an operator needs several runs to find them all, and against consequential
// problems that disappear once the reported ones are fixed.
func TestAllProblemsAtOnce(t *testing.T) {
	first := strings.Replace(validFile, `"slots": 10, "connections": 130, "dependsOn"`, `"slots": 0, "connections": 130, "dependsOn"`, 1)
	second := `{"services": [{"name": "stock", "team": "none", "version": "v1", "slots": 9, "connections": 1}], "extra": 1}`
	_, problems := propose(t, &Configuration{}, first, second)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.File+" "+p.Path)
	}
	assert.DeepEqual(t, paths, []string{
		"f0.json $.services[0].slots", "f1.json $.extra", "f1.json $.services[0].name", "f1.json $.services[0].connections",
	})
}

// TestHostileFiles guards against a file within the size limit that occupies a
// daemon for seconds, and against an unbounded number of problems in the response.
func TestHostileFiles(t *testing.T) {
	fill := func(prefix, item, suffix string) string {
		n := (MaxFileBytes - len(prefix) - len(suffix)) / (len(item) + 1)
		return prefix + strings.Repeat(item+",", n-1) + item + suffix
	}
	for name, file := range map[string]string{
		"empty services":   fill(`{"services":[`, `{}`, `]}`),
		"unknown removals": fill(`{"removedServices":[`, `"a"`, `]}`),
		"equal services":   fill(`{"services":[`, `{"name":"a","team":"t","version":"v","slots":1,"connections":1}`, `]}`),
		"unknown fields":   fill(`{"teams":[`, `{"x":1}`, `]}`),
		"repeated keys":    fill(`{`, `"a":1`, `}`),
		"unknown keys":     fill(`{"teams":[`, `{"a":1,"b":2,"c":3,"d":4,"e":5,"f":6,"g":[[[[1]]]]}`, `]}`),
		"many problems":    `{"teams":[` + strings.Repeat(`{"name":"a","x":1},`, 999) + `{}]}`,
		"nested arrays":    fill(`{"teams":`, `[[[[[[[[]]]]]]]]`, `}`),
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, problems := propose(t, &Configuration{}, file)
			assert.Assert(t, len(problems) > 0 && len(problems) <= maxProblems+1)
			assert.Assert(t, time.Since(start) < 5*time.Second, "%v", time.Since(start))
		})
	}
}

// TestSchemaEqualsTypes guards against a field that only the schema or only the Go
// types define, and against one whose type or required status differs.
func TestSchemaEqualsTypes(t *testing.T) {
	var root map[string]any
	assert.NilError(t, json.Unmarshal(schema.Configuration, &root))
	compareType(t, root, root, reflect.TypeFor[File](), "$")
}

func compareType(t *testing.T, root, node map[string]any, typ reflect.Type, path string) {
	t.Helper()
	if ref, ok := node["$ref"].(string); ok {
		node = root["$defs"].(map[string]any)[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any)
	}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	kind := map[reflect.Kind]string{
		reflect.String: "string", reflect.Int: "integer", reflect.Float64: "number",
		reflect.Bool: "boolean", reflect.Slice: "array", reflect.Struct: "object",
	}[typ.Kind()]
	if typ == reflect.TypeFor[Duration]() || typ == reflect.TypeFor[time.Time]() {
		kind = "string"
	}
	if _, isEnum := node["enum"]; isEnum {
		assert.Equal(t, kind, "string", path)
		return
	}
	assert.Equal(t, node["type"], kind, path)
	switch kind {
	case "array":
		compareType(t, root, node["items"].(map[string]any), typ.Elem(), path+"[]")
	case "object":
		compareStruct(t, root, node, typ, path)
	}
}

func compareStruct(t *testing.T, root, node map[string]any, typ reflect.Type, path string) {
	t.Helper()
	assert.Equal(t, node["additionalProperties"], false, path)
	properties := node["properties"].(map[string]any)
	required, _ := node["required"].([]any)
	assert.Equal(t, typ.NumField(), len(properties), path)
	for i := range typ.NumField() {
		name, option, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		property, ok := properties[name].(map[string]any)
		assert.Assert(t, ok, "%s.%s is not in the schema", path, name)
		assert.Equal(t, slices.Contains(required, any(name)), option != "omitempty", "%s.%s", path, name)
		compareType(t, root, property, typ.Field(i).Type, path+"."+name)
	}
}

// TestFileRoundTrip guards against a configuration that is rejected or changed
// when the output of the get command is applied again.
func TestFileRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := Route{Name: "r", Host: "h.example", Path: "/", Idempotent: rapid.Bool().Draw(t, "idempotent")}
		route.Deadline = Duration(rapid.Int64Range(int64(minDeadline), int64(MaxDeadline)).Draw(t, "deadline"))
		route.Limits = &Limits{PerMember: &Rate{PerSecond: float64(rapid.IntRange(1, 1e9).Draw(t, "rate")) / 1000, Burst: 1}}
		service := Service{Name: "s", Team: "t", Version: "v", Slots: 1, Connections: 1, Routes: []Route{route}}
		service.ColdStart = Duration(rapid.Int64Range(0, int64(maxColdStart)).Draw(t, "coldStart"))
		by := testNow.Add(time.Hour + time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "by")))
		service.Moves = []Move{{Name: "m", From: "v", To: "w", By: by}}
		before := &Configuration{Version: 1, Teams: []Team{{Name: "t"}}, Bundles: map[string]*Bundle{
			"s": {Service: service, Generations: map[string]uint64{"m": 1}},
		}}
		content, err := json.Marshal(before.File())
		if err != nil {
			t.Fatal(err)
		}
		proposal, err := Propose(before, []Source{{Name: "f", Content: content}}, Options{Now: testNow})
		if err != nil {
			t.Fatalf("%s\n%v", content, err)
		}
		if !proposal.Diff.Empty() {
			t.Fatalf("%s\n%s", content, proposal.Diff.Text())
		}
	})
}

// TestExamples guards against published examples that are rejected, and against an
// invalid example that is accepted.
func TestExamples(t *testing.T) {
	for _, user := range []string{"inzuzi", "lumiere"} {
		proposal, err := Propose(&Configuration{}, readExamples(t, user), Options{Now: testNow})
		assert.NilError(t, err)
		assert.Assert(t, len(proposal.Next.Bundles) >= 2)
	}
	_, err := Propose(&Configuration{}, readExamples(t, "bad"), Options{Now: testNow})
	problems, ok := err.(*ProblemsError)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, len(problems.Problems), 7, "%v", err)
}

func readExamples(t testing.TB, user string) []Source {
	names, err := filepath.Glob(filepath.Join("..", "..", "examples", user, "*.json"))
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	var sources []Source
	for _, name := range names {
		content, err := os.ReadFile(name)
		assert.NilError(t, err)
		sources = append(sources, Source{Name: filepath.Base(name), Content: content})
	}
	return sources
}

// FuzzDecode guards against a panic of the decoder, against a file that passes the
// schema but cannot be decoded, and against a file that produces a difference when
// it is applied twice.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"services": [{"name": "a", "slots": 1e9}], "services": []}`))
	f.Add([]byte(`{"removedServices": ["a", "a"], "teams": [null, {"name": "\ud800"}]}`))
	for _, user := range []string{"inzuzi", "lumiere", "bad"} {
		for _, source := range readExamples(f, user) {
			f.Add(source.Content)
		}
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		sources := []Source{{Name: "f", Content: content}}
		proposal, err := Propose(&Configuration{}, sources, Options{Now: testNow})
		if err != nil {
			problems, ok := err.(*ProblemsError)
			assert.Assert(t, ok && len(problems.Problems) > 0, "%v", err)
			for _, p := range problems.Problems {
				assert.Assert(t, !strings.HasPrefix(p.Allowed, "see docs/schema"), "%v", p)
			}
			return
		}
		again, err := Propose(proposal.Next, sources, Options{Now: testNow})
		assert.NilError(t, err)
		assert.Assert(t, again.Diff.Empty(), "%s", again.Diff.Text())
	})
}
