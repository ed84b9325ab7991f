package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// Configuration is one complete version with all teams and bundles. Daemons use
// it to accept operator files, and a Snapshot to route calls. It is immutable.
type Configuration struct {
	Version uint64
	Teams   []Team             // sorted by name
	Bundles map[string]*Bundle // by service name
}

// EncodeTeams returns the canonical encoding of the teams, over which their digest
// in the manifest is computed.
func EncodeTeams(teams []Team) []byte {
	data, err := json.Marshal(teams)
	if err != nil {
		panic("config: encode teams: " + err.Error()) // teams contain only strings
	}
	return data
}

// DecodeTeams decodes teams and verifies them against their digest.
func DecodeTeams(data []byte, digest string) ([]Team, error) {
	if got := Digest(data); got != digest {
		return nil, &DigestError{Kind: "teams", Want: digest, Got: got}
	}
	var teams []Team
	if err := json.Unmarshal(data, &teams); err != nil {
		return nil, &BundleError{Digest: digest, Cause: err}
	}
	return teams, nil
}

// DecodeManifest decodes a manifest and verifies it against its digest.
func DecodeManifest(data []byte, digest string) (*Manifest, error) {
	if got := Digest(data); got != digest {
		return nil, &DigestError{Kind: "manifest", Want: digest, Got: got}
	}
	manifest := &Manifest{}
	if err := json.Unmarshal(data, manifest); err != nil {
		return nil, &BundleError{Digest: digest, Cause: err}
	}
	return manifest, nil
}

// Manifest returns the manifest and the content of every blob that the manifest
// references, by digest.
func (c *Configuration) Manifest() (*Manifest, map[string][]byte) {
	manifest := &Manifest{Version: c.Version, Entries: map[string]Entry{}}
	content := map[string][]byte{}
	for name, bundle := range c.Bundles {
		data := bundle.Encode()
		digest := Digest(data)
		manifest.Entries[name] = Entry{Digest: digest, Hosts: bundle.Hosts()}
		content[digest] = data
	}
	if len(c.Teams) > 0 {
		data := EncodeTeams(c.Teams)
		manifest.Entries[TeamsEntry] = Entry{Digest: Digest(data)}
		content[Digest(data)] = data
	}
	return manifest, content
}

// File returns the configuration in the form of an operator file.
func (c *Configuration) File() File {
	file := File{Teams: c.Teams}
	for _, name := range slices.Sorted(maps.Keys(c.Bundles)) {
		file.Services = append(file.Services, c.Bundles[name].Service)
	}
	return file
}

// Proposal is a validated change with the configuration that results from it.
type Proposal struct {
	Change *Change
	Next   *Configuration
	Diff   Diff
}

// Options configures the validation of a change.
type Options struct {
	Now time.Time
	// MoveDone reports whether a move of the current configuration has shifted
	// all traffic to its new version. If the function is nil, the state of moves
	// is not checked, and a service may change to the version of any of its moves.
	MoveDone func(service, move string, generation uint64) bool
}

// Propose decodes operator files, merges them into the current configuration and
// validates the result as a whole. The error is a ProblemsError that lists up to
// maxProblems problems and the number of further ones.
func Propose(current *Configuration, sources []Source, options Options) (*Proposal, error) {
	change, problems := Decode(sources)
	next := current.merge(change)
	check := &checker{change: change, next: next, problems: problems}
	check.checkNames()
	for _, service := range change.Services {
		check.problems = append(check.problems, checkService(service)...)
		old := current.Bundles[service.Value.Name]
		check.problems = append(check.problems, checkVersionChange(service, old, options)...)
		check.problems = append(check.problems, checkMoveTimes(service, old, options.Now)...)
	}
	check.checkReferences()
	check.checkRemovals()
	check.checkRouteOverlap()
	check.checkSizes()
	if len(check.problems) > 0 {
		return nil, &ProblemsError{Problems: limitProblems(check.problems)}
	}
	return &Proposal{Change: change, Next: next, Diff: compare(current, next, change)}, nil
}

// merge returns the next configuration: each team and service in the change
// replaces the current definition as a whole. Moves with a new or changed
// definition get the new version as their generation.
func (c *Configuration) merge(change *Change) *Configuration {
	next := &Configuration{Version: c.Version + 1, Bundles: maps.Clone(c.Bundles)}
	if next.Bundles == nil {
		next.Bundles = map[string]*Bundle{}
	}
	for _, name := range change.Removed {
		delete(next.Bundles, name.Value)
	}
	for _, service := range change.Services {
		bundle := &Bundle{Service: service.Value}
		bundle.Generations = moveGenerations(c.Bundles[service.Value.Name], service.Value.Moves, next.Version)
		if old, ok := c.Bundles[service.Value.Name]; ok && bytes.Equal(old.Encode(), bundle.Encode()) {
			bundle = old
		}
		next.Bundles[service.Value.Name] = bundle
	}
	teams := map[string]Team{}
	for _, team := range c.Teams {
		teams[team.Name] = team
	}
	for _, team := range change.Teams {
		teams[team.Value.Name] = team.Value
	}
	next.Teams = slices.SortedFunc(maps.Values(teams), func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	return next
}

func moveGenerations(old *Bundle, moves []Move, version uint64) map[string]uint64 {
	if len(moves) == 0 {
		return nil
	}
	result := map[string]uint64{}
	for _, move := range moves {
		result[move.Name] = version
		if before, ok := old.move(move.Name); ok && before.equal(move) {
			result[move.Name] = old.Generations[move.Name]
		}
	}
	return result
}
