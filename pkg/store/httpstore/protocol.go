// Package httpstore implements store.Store over HTTP: a client for daemons, and a
// handler that serves a store. On a real platform, an adapter for the platform's
// wire format replaces it.
package httpstore

import (
	"errors"
	"fmt"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// Path is the path of the only endpoint; each call is a POST of a request.
const Path = "/v1/objects"

type request struct {
	Op       string `json:"op"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	WaitMS   int64  `json:"waitMs,omitempty"`
}

type response struct {
	Object   *store.Object  `json:"object,omitempty"`
	Objects  []store.Object `json:"objects,omitempty"`
	Events   []store.Event  `json:"events,omitempty"`
	Revision int64          `json:"revision,omitempty"`
	Error    *wireError     `json:"error,omitempty"`
}

// wireError is the encoding of an error of package store.
type wireError struct {
	Kind     string `json:"kind"`
	Message  string `json:"message,omitempty"`
	Expected int64  `json:"expected,omitempty"`
	Revision int64  `json:"revision,omitempty"`
}

const (
	kindNotFound       = "not_found"
	kindConflict       = "conflict"
	kindExpiredWatch   = "expired_watch"
	kindOutcomeUnknown = "outcome_unknown"
	kindUnavailable    = "unavailable"
)

// CallError is the cause of a store error that the server returned or that an
// invalid response caused. Status is 0 for errors of the server's store.
type CallError struct {
	Status  int
	Message string
}

func (e *CallError) Error() string {
	return fmt.Sprintf("httpstore: status %d: %s", e.Status, e.Message)
}

func encodeError(err error) *wireError {
	var conflict *store.ConflictError
	var expired *store.ExpiredWatchError
	switch {
	case store.IsNotFound(err):
		return &wireError{Kind: kindNotFound}
	case errors.As(err, &conflict):
		return &wireError{Kind: kindConflict, Expected: conflict.Expected, Revision: conflict.Revision}
	case errors.As(err, &expired):
		return &wireError{Kind: kindExpiredWatch, Revision: expired.Oldest}
	case store.IsOutcomeUnknown(err):
		return &wireError{Kind: kindOutcomeUnknown, Message: err.Error()}
	default:
		return &wireError{Kind: kindUnavailable, Message: err.Error()}
	}
}

func (e *wireError) decode(req request) error {
	switch e.Kind {
	case kindNotFound:
		return &store.NotFoundError{Key: req.Key}
	case kindConflict:
		return &store.ConflictError{Key: req.Key, Expected: e.Expected, Revision: e.Revision}
	case kindExpiredWatch:
		return &store.ExpiredWatchError{Prefix: req.Key, From: req.Revision, Oldest: e.Revision}
	case kindOutcomeUnknown:
		return &store.OutcomeUnknownError{Op: req.Op, Key: req.Key, Cause: &CallError{Message: e.Message}}
	default:
		return &store.UnavailableError{Op: req.Op, Cause: &CallError{Message: e.Message}}
	}
}
