package admin

import (
	"errors"
	"fmt"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
)

var statusByKind = map[Kind]int{
	KindBadRequest:       consts.StatusBadRequest,
	KindUnauthorized:     consts.StatusUnauthorized,
	KindForbidden:        consts.StatusForbidden,
	KindNotFound:         consts.StatusNotFound,
	KindMethodNotAllowed: consts.StatusMethodNotAllowed,
	KindConflict:         consts.StatusConflict,
	KindOperationReused:  consts.StatusConflict,
	KindTooLarge:         consts.StatusRequestEntityTooLarge,
	KindRefused:          consts.StatusUnprocessableEntity,
	KindRateLimited:      consts.StatusTooManyRequests,
	KindInternal:         consts.StatusInternalServerError,
	KindNotApplied:       consts.StatusServiceUnavailable,
	KindUnavailable:      consts.StatusServiceUnavailable,
	KindOutcomeUnknown:   consts.StatusGatewayTimeout,
}

// toFailure maps an error of this package or of packages accept and config to
// the failure that is sent to the client.
func toFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	f := &Failure{Kind: KindInternal, Message: err.Error()}
	var problems *config.ProblemsError
	var conflict *accept.ConflictError
	var reused *accept.OperationReusedError
	var unknown *accept.OutcomeUnknownError
	switch {
	case errors.As(err, &problems):
		f.Kind, f.Problems = KindRefused, problems.Problems
		f.Message = fmt.Sprintf("the files have %d problems, nothing was applied", len(problems.Problems))
	case errors.As(err, &conflict):
		f.Kind, f.Version, f.Operation, f.Touched = KindConflict, conflict.Version, conflict.Operation, conflict.Touched
	case errors.As(err, &reused):
		f.Kind, f.Version, f.Operation = KindOperationReused, reused.Version, reused.Operation
	case errors.As(err, &unknown):
		f.Kind, f.Operation = KindOutcomeUnknown, unknown.Operation
	case is[*accept.NotAppliedError](err), is[*accept.ContendedError](err):
		f.Kind = KindNotApplied
	case is[*accept.RequestError](err), is[*accept.FutureBaseError](err):
		f.Kind = KindBadRequest
	case is[*ForbiddenError](err):
		f.Kind = KindForbidden
	}
	return f
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
