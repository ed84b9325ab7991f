package accept

import (
	"errors"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventAccepted = telemetry.NewEvent(1201, "configuration_accepted", zapcore.InfoLevel,
		"This daemon committed operator files as a new configuration version.")
	eventUnchanged = telemetry.NewEvent(1202, "configuration_unchanged", zapcore.InfoLevel,
		"An apply changed nothing or repeated an earlier one; nothing was written.")
	eventRefused = telemetry.NewEvent(1203, "configuration_refused", zapcore.InfoLevel,
		"An apply was refused because of its request or files, its author's permissions or a conflict with other applies.")
	eventNotApplied = telemetry.NewEvent(1204, "configuration_not_applied", zapcore.WarnLevel,
		"An apply failed because of a store error; nothing was applied.")
	eventOutcomeUnknown = telemetry.NewEvent(1205, "configuration_outcome_unknown", zapcore.ErrorLevel,
		"The response to the head update was lost and the head did not confirm the outcome; repeating the operation determines it.")
	eventCollected = telemetry.NewEvent(1206, "blobs_collected", zapcore.InfoLevel,
		"Blobs that no version in use references were removed from the store.")
)

func (a *Acceptor) log(r Request, result Result, err error) {
	fields := []zap.Field{zap.String("operation", r.Operation), zap.String("author", r.Author)}
	var unknown *OutcomeUnknownError
	var failed *NotAppliedError
	switch {
	case errors.As(err, &unknown):
		eventOutcomeUnknown.Log(a.options.Logger, append(fields, zap.Error(err))...)
	case errors.As(err, &failed):
		eventNotApplied.Log(a.options.Logger, append(fields, zap.Error(err))...)
	case err != nil:
		eventRefused.Log(a.options.Logger, append(fields, zap.String("reason", reason(err)))...)
	case !result.Changed || result.Repeated:
		eventUnchanged.Log(a.options.Logger, append(fields, zap.Uint64("version", result.Version))...)
	default:
		eventAccepted.Log(a.options.Logger, append(fields, zap.Uint64("version", result.Version),
			zap.Strings("touched", result.Diff.Touched()))...)
	}
}

// reason returns the text of an error with only the first of several problems. The
// operator receives all of them.
func reason(err error) string {
	var problems *config.ProblemsError
	if errors.As(err, &problems) && len(problems.Problems) > 0 {
		return problems.Problems[0].String()
	}
	return err.Error()
}

func asConflict(err error) (*store.ConflictError, bool) {
	var conflict *store.ConflictError
	ok := errors.As(err, &conflict)
	return conflict, ok
}
