// Package accept validates operator files and commits them to the store as the next
// configuration version. The conditional update of the head is the only commit
// point; a failure before it leaves the configuration unchanged.
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
	// maxAttempts is the maximum number of attempts of an apply when other applies
	// commit first. At 10,000 changes a day concurrent applies are rare, and five
	// conflicts in a row indicate a fault.
	maxAttempts = 5
	// maxWriteAttempts is the maximum number of writes of one blob or head when the
	// responses are lost.
	maxWriteAttempts = 3
	maxNameBytes     = 128
)

// Authorize returns an error if the author may not make a change. The error is
// returned to the caller unchanged.
type Authorize func(diff config.Diff) error

// Request is a request to change the configuration.
type Request struct {
	// Operation is the idempotency key of the apply: a repeat with the same ID does
	// not apply the files again.
	Operation string
	Author    string
	// BaseVersion is the version that the files are based on, 0 for the current.
	BaseVersion uint64
	Files       []config.Source
	Authorize   Authorize // nil allows everything
}

// Result is the outcome of a successful apply.
type Result struct {
	Operation string `json:"operation"`
	// Version is the version that contains the change.
	Version uint64 `json:"version"`
	// Changed is false if the files change nothing, in which case nothing was
	// written.
	Changed bool `json:"changed"`
	// Repeated is set if the operation had already been accepted.
	Repeated bool        `json:"repeated,omitempty"`
	Diff     config.Diff `json:"diff"`
}

// Options configures an Acceptor. Store and Logger are required.
type Options struct {
	Store  store.Store
	Logger *zap.Logger
	// Local returns content that the daemon has cached, which avoids store reads.
	Local func(digest string) ([]byte, bool)
	// OnAccepted is called after this daemon has committed a version, with the full
	// manifest and the changed bundles. It must not block for long.
	OnAccepted func(*pb.ConfigDelta)
	// MoveDone implements config.Options.MoveDone; ctx is the context of the request.
	MoveDone func(ctx context.Context, service, move string, generation uint64) bool
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// Acceptor validates operator files and commits them as configuration versions. It
// is safe for concurrent use.
type Acceptor struct {
	options Options
	loader  *loader
}

// New returns an Acceptor with the given options.
func New(options Options) *Acceptor {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Acceptor{options: options, loader: &loader{store: options.Store, local: options.Local}}
}

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

func (r *Request) validate() error {
	if len(r.Operation) > maxNameBytes || !operationPattern.MatchString(r.Operation) {
		return &RequestError{Field: "operation", Message: "must be 1 to 128 letters, digits, '.', '_', ':' or '-'"}
	}
	if r.Author == "" || len(r.Author) > maxNameBytes {
		return &RequestError{Field: "author", Message: "must have 1 to 128 bytes"}
	}
	return nil
}

// digest returns a digest of the files that is independent of their order and
// names.
func (r *Request) digest() string {
	digests := make([]string, len(r.Files))
	for i, file := range r.Files {
		digests[i] = config.Digest(file.Content)
	}
	slices.Sort(digests)
	return config.Digest([]byte(strings.Join(digests, "\n")))
}

// Check returns the difference that an apply of the files would make. It writes
// nothing.
func (a *Acceptor) Check(ctx context.Context, r Request) (config.Diff, error) {
	stored, err := a.loader.load(ctx)
	if err != nil {
		return config.Diff{}, &NotAppliedError{Step: "reading the configuration", Cause: err}
	}
	if err := a.newApply(r).checkBase(stored.head); err != nil {
		return config.Diff{}, err
	}
	proposal, err := a.propose(ctx, stored, r)
	if err != nil {
		return config.Diff{}, err
	}
	return proposal.Diff, nil
}

func (a *Acceptor) propose(ctx context.Context, stored *storedConfig, r Request) (*config.Proposal, error) {
	options := config.Options{Now: a.options.Now()}
	if a.options.MoveDone != nil {
		options.MoveDone = func(service, move string, generation uint64) bool {
			return a.options.MoveDone(ctx, service, move, generation)
		}
	}
	proposal, err := config.Propose(stored.current, r.Files, options)
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

// Accept atomically applies the files of a request as one new version.
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
		result, retry, err := run.attempt(ctx)
		if !retry {
			return result, err
		}
	}
	return Result{}, &ContendedError{Attempts: maxAttempts}
}

// apply is one call of Accept with all its attempts.
type apply struct {
	acceptor *Acceptor
	request  Request
	digest   string   // of the files
	entries  []string // manifest entries that the files define or remove
	hasBase  bool     // the files are based on version base
	base     uint64
}

func (a *Acceptor) newApply(r Request) *apply {
	change, _ := config.Decode(r.Files) // problems are reported by propose
	return &apply{
		acceptor: a, request: r, digest: r.digest(), entries: change.EntryNames(),
		hasBase: r.BaseVersion != 0, base: r.BaseVersion,
	}
}

// attempt applies the files to the current version. It sets retry if another apply
// updated the head in the meantime.
func (p *apply) attempt(ctx context.Context) (result Result, retry bool, err error) {
	stored, err := p.acceptor.loader.load(ctx)
	if err != nil {
		return Result{}, false, &NotAppliedError{Step: "reading the configuration", Cause: err}
	}
	if result, found, err := p.previousResult(stored.head); found || err != nil {
		return result, false, err
	}
	if err := p.checkBase(stored.head); err != nil {
		return Result{}, false, err
	}
	proposal, err := p.acceptor.propose(ctx, stored, p.request)
	if err != nil {
		return Result{}, false, err
	}
	result = Result{Operation: p.request.Operation, Version: stored.head.Version, Diff: proposal.Diff}
	if proposal.Diff.Empty() {
		return result, false, nil
	}
	commit := p.prepare(stored, proposal)
	if err := p.acceptor.writeBlobs(ctx, stored, commit); err != nil {
		return Result{}, false, &NotAppliedError{Step: "writing the content", Cause: err}
	}
	written, err := p.acceptor.writeHead(ctx, stored, commit)
	if err != nil {
		return Result{}, false, err
	}
	if !written {
		p.hasBase, p.base = true, stored.head.Version
		return Result{}, true, nil
	}
	result.Version, result.Changed = commit.head.Version, true
	p.acceptor.loader.setCache(commit.head.Version, commit.content)
	if p.acceptor.options.OnAccepted != nil {
		p.acceptor.options.OnAccepted(commit.delta(stored))
	}
	return result, false, nil
}

// previousResult returns the result of an earlier apply with the same operation ID.
func (p *apply) previousResult(head config.Head) (Result, bool, error) {
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

// checkBase returns an error if a version after the base version changed an entry
// that the files define or remove. Files without a base version are based on the
// current version.
func (p *apply) checkBase(head config.Head) error {
	if !p.hasBase || p.base == head.Version {
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
		if common := overlap(op.Touched, p.entries); len(common) > 0 {
			return &ConflictError{Base: p.base, Version: op.Version, Author: op.Author, Operation: op.ID, Touched: common}
		}
	}
	return nil
}

func overlap(touched, entries []string) []string {
	if slices.Contains(touched, config.TouchedAll) {
		return entries
	}
	return slices.DeleteFunc(slices.Clone(entries), func(name string) bool { return !slices.Contains(touched, name) })
}

// commit is a version that is ready to be written to the store.
type commit struct {
	head     config.Head
	manifest *config.Manifest
	content  map[string][]byte // every blob of the version by digest
}

func (p *apply) prepare(stored *storedConfig, proposal *config.Proposal) *commit {
	manifest, content := proposal.Next.Manifest()
	digest := manifest.Digest()
	content[digest] = manifest.Encode()
	head := stored.head
	head.Version, head.Manifest = manifest.Version, digest
	head.AcceptedAt = p.acceptor.options.Now().UTC()
	op := config.Operation{ID: p.request.Operation, Author: p.request.Author, Version: manifest.Version, Request: p.digest}
	op.SetTouched(proposal.Diff.Touched())
	head.AddOperation(op)
	return &commit{head: head, manifest: manifest, content: content}
}

// newDigests returns the sorted digests of the blobs that the previous version does
// not reference.
func (c *commit) newDigests(stored *storedConfig) []string {
	used := referencedDigests(stored.head.Manifest, stored.manifest)
	digests := slices.DeleteFunc(slices.Collect(maps.Keys(c.content)), func(digest string) bool { return used[digest] })
	slices.Sort(digests)
	return digests
}

// delta returns the full manifest with the changed bundles, to be pushed to the
// distributors.
func (c *commit) delta(stored *storedConfig) *pb.ConfigDelta {
	delta := c.manifest.Delta(nil)
	delta.Bundles = map[string][]byte{}
	for _, digest := range c.newDigests(stored) {
		if digest != c.head.Manifest {
			delta.Bundles[digest] = c.content[digest]
		}
	}
	return delta
}

func (c *commit) encodeHead() []byte {
	data, err := json.Marshal(c.head)
	if err != nil {
		panic("accept: encode head: " + err.Error()) // a head contains only strings, integers and a time
	}
	return data
}
