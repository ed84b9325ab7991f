// Package accept turns operator files into the next configuration version. The
// conditional update of the head is the only commit point; whatever fails
// before it leaves the configuration as it was.
package accept

import (
	"context"
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// maxAttempts bounds how often an apply builds on a newer version because
	// another operator was faster. At 10,000 changes a day two applies meet
	// rarely, and five in a row point at a fault.
	maxAttempts = 5
	// maxWriteTries bounds the writes of one blob or head whose answers are lost.
	maxWriteTries = 3
	maxNameLength = 128
)

// Authorize decides whether the author may make a change. Its error is
// returned as it is.
type Authorize func(diff config.Diff) error

// Request asks for a change of the configuration.
type Request struct {
	// Operation identifies the apply; a repeat with the same number does not
	// apply the files again.
	Operation string
	Author    string
	// BaseVersion is the version that the author has seen, 0 for the current.
	BaseVersion uint64
	Files       []config.Source
	Authorize   Authorize // nil allows everything
}

// Result is the outcome of an apply that was not refused.
type Result struct {
	Operation string `json:"operation"`
	// Version is the version that holds the change.
	Version uint64 `json:"version"`
	// Changed is false if the files change nothing; nothing was written then.
	Changed bool `json:"changed"`
	// Repeated is set if the operation had been accepted before.
	Repeated bool        `json:"repeated,omitempty"`
	Diff     config.Diff `json:"diff"`
}

// Options configures an Acceptor. Store and Logger are required.
type Options struct {
	Store  store.Store
	Logger *zap.Logger
	// Local returns content that the daemon holds, which saves store reads.
	Local func(digest string) ([]byte, bool)
	// Accepted is called with each version that this daemon accepted: the full
	// manifest and the changed bundles. It must not block for long.
	Accepted func(*pb.ConfigDelta)
	// MoveDone is described in config.Options. It gets the context of the request.
	MoveDone func(ctx context.Context, service, move string, generation uint64) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Acceptor accepts operator files. It is safe for concurrent use.
type Acceptor struct {
	options Options
	loader  *loader
}

// New returns an Acceptor.
func New(options Options) *Acceptor {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Acceptor{options: options, loader: &loader{store: options.Store, local: options.Local}}
}

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

func (r *Request) validate() error {
	if len(r.Operation) > maxNameLength || !operationPattern.MatchString(r.Operation) {
		return &RequestError{Field: "operation", Message: "must be 1 to 128 letters, digits, '.', '_', ':' or '-'"}
	}
	if r.Author == "" || len(r.Author) > maxNameLength {
		return &RequestError{Field: "author", Message: "must have 1 to 128 bytes"}
	}
	return nil
}

// digest identifies the files whatever their order and names.
func (r *Request) digest() string {
	digests := make([]string, len(r.Files))
	for i, file := range r.Files {
		digests[i] = config.Digest(file.Content)
	}
	slices.Sort(digests)
	return config.Digest([]byte(strings.Join(digests, "\n")))
}

// Check returns what an apply of the files would change, and writes nothing.
func (a *Acceptor) Check(ctx context.Context, r Request) (config.Diff, error) {
	s, err := a.loader.load(ctx)
	if err != nil {
		return config.Diff{}, &NotAppliedError{Step: "reading the configuration", Cause: err}
	}
	if err := a.newApply(r).checkBase(s.head); err != nil {
		return config.Diff{}, err
	}
	proposal, err := a.propose(ctx, s, r)
	if err != nil {
		return config.Diff{}, err
	}
	return proposal.Diff, nil
}

func (a *Acceptor) propose(ctx context.Context, s *state, r Request) (*config.Proposal, error) {
	options := config.Options{Now: a.options.Now()}
	if a.options.MoveDone != nil {
		options.MoveDone = func(service, move string, generation uint64) bool {
			return a.options.MoveDone(ctx, service, move, generation)
		}
	}
	proposal, err := config.Propose(s.current, r.Files, options)
	if err != nil {
		return nil, err
	}
	if r.Authorize != nil {
		if err := r.Authorize(proposal.Diff); err != nil {
			return nil, err
		}
	}
	return proposal, nil
}

// Accept applies the files of a request as one new version, or not at all.
func (a *Acceptor) Accept(ctx context.Context, r Request) (Result, error) {
	result, err := a.accept(ctx, r)
	a.log(r, result, err)
	return result, err
}

func (a *Acceptor) accept(ctx context.Context, r Request) (Result, error) {
	if err := r.validate(); err != nil {
		return Result{}, err
	}
	run := a.newApply(r)
	for range maxAttempts {
		result, again, err := run.attempt(ctx)
		if !again {
			return result, err
		}
	}
	return Result{}, &ContendedError{Attempts: maxAttempts}
}

// apply is one Accept over its attempts.
type apply struct {
	acceptor *Acceptor
	request  Request
	digest   string   // of the files
	named    []string // manifest entries that the files name
	based    bool     // the files build on version base
	base     uint64
}

func (a *Acceptor) newApply(r Request) *apply {
	change, _ := config.Decode(r.Files) // problems are reported by propose
	return &apply{
		acceptor: a, request: r, digest: r.digest(), named: change.EntryNames(),
		based: r.BaseVersion != 0, base: r.BaseVersion,
	}
}

// attempt builds on the current version. It asks for another attempt if the
// head was updated by someone else in the meantime.
func (p *apply) attempt(ctx context.Context) (result Result, again bool, err error) {
	s, err := p.acceptor.loader.load(ctx)
	if err != nil {
		return Result{}, false, &NotAppliedError{Step: "reading the configuration", Cause: err}
	}
	if result, found, err := p.repeated(s.head); found || err != nil {
		return result, false, err
	}
	if err := p.checkBase(s.head); err != nil {
		return Result{}, false, err
	}
	proposal, err := p.acceptor.propose(ctx, s, p.request)
	if err != nil {
		return Result{}, false, err
	}
	result = Result{Operation: p.request.Operation, Version: s.head.Version, Diff: proposal.Diff}
	if proposal.Diff.Empty() {
		return result, false, nil
	}
	commit := p.prepare(s, proposal)
	if err := p.acceptor.writeBlobs(ctx, s, commit); err != nil {
		return Result{}, false, &NotAppliedError{Step: "writing the content", Cause: err}
	}
	written, err := p.acceptor.writeHead(ctx, s, commit)
	if err != nil {
		return Result{}, false, err
	}
	if !written {
		p.based, p.base = true, s.head.Version
		return Result{}, true, nil
	}
	result.Version, result.Changed = commit.head.Version, true
	p.acceptor.loader.replace(commit.head.Version, commit.content)
	if p.acceptor.options.Accepted != nil {
		p.acceptor.options.Accepted(commit.delta(s))
	}
	return result, false, nil
}

// repeated looks for an earlier apply with the same operation number.
func (p *apply) repeated(head config.Head) (Result, bool, error) {
	op, ok := head.Find(p.request.Operation)
	if !ok {
		return Result{}, false, nil
	}
	if op.Request != p.digest || op.Author != p.request.Author {
		return Result{}, false, &OperationReusedError{Operation: op.ID, Version: op.Version}
	}
	diff := config.Diff{BaseVersion: op.Version}
	return Result{Operation: op.ID, Version: op.Version, Changed: true, Repeated: true, Diff: diff}, true, nil
}

// checkBase refuses the files if a version after their base changed what they
// name. Without a base version the files build on the version just read.
func (p *apply) checkBase(head config.Head) error {
	if !p.based || p.base == head.Version {
		return nil
	}
	if p.base > head.Version {
		return &FutureBaseError{Base: p.base, Version: head.Version}
	}
	if len(head.Operations) == 0 || head.Operations[0].Version > p.base+1 {
		return &ConflictError{Base: p.base, Version: head.Version}
	}
	for _, op := range head.Operations {
		if op.Version <= p.base {
			continue
		}
		if both := overlap(op.Touched, p.named); len(both) > 0 {
			return &ConflictError{Base: p.base, Version: op.Version, Author: op.Author, Operation: op.ID, Touched: both}
		}
	}
	return nil
}

func overlap(touched, named []string) []string {
	if slices.Contains(touched, config.TouchedAll) {
		return named
	}
	return slices.DeleteFunc(slices.Clone(named), func(name string) bool { return !slices.Contains(touched, name) })
}

// commit is a version that is ready to be written.
type commit struct {
	head     config.Head
	manifest *config.Manifest
	content  map[string][]byte // every blob of the version by digest
}

func (p *apply) prepare(s *state, proposal *config.Proposal) *commit {
	manifest, content := proposal.Next.Manifest()
	digest := manifest.Digest()
	content[digest] = manifest.Encode()
	head := s.head
	head.Version, head.Manifest = manifest.Version, digest
	head.AcceptedAt = p.acceptor.options.Now().UTC()
	op := config.Operation{ID: p.request.Operation, Author: p.request.Author, Version: manifest.Version, Request: p.digest}
	op.SetTouched(proposal.Diff.Touched())
	head.AddOperation(op)
	return &commit{head: head, manifest: manifest, content: content}
}

// fresh returns the sorted digests of the blobs that the version before does
// not hold.
func (c *commit) fresh(s *state) []string {
	used := referenced(s.head.Manifest, s.manifest)
	digests := slices.DeleteFunc(slices.Collect(maps.Keys(c.content)), func(digest string) bool { return used[digest] })
	slices.Sort(digests)
	return digests
}

// delta is the full manifest with the changed bundles, for pushing.
func (c *commit) delta(s *state) *pb.ConfigDelta {
	delta := c.manifest.Delta(nil)
	delta.Bundles = map[string][]byte{}
	for _, digest := range c.fresh(s) {
		if digest != c.head.Manifest {
			delta.Bundles[digest] = c.content[digest]
		}
	}
	return delta
}

func (c *commit) encodeHead() []byte {
	data, err := json.Marshal(c.head)
	if err != nil {
		panic("accept: head cannot be encoded: " + err.Error()) // strings, integers and a time
	}
	return data
}
