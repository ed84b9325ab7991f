package route

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventDecision = telemetry.NewEvent(1500, "call_decision", zapcore.InfoLevel,
		"A call has ended; the fields give its route, version, endpoint, attempts and outcome.")
	eventAttemptFailed = telemetry.NewEvent(1501, "endpoint_attempt_failed", zapcore.DebugLevel,
		"An attempt failed or was refused; the endpoint may be set aside.")
	eventWarmFailed = telemetry.NewEvent(1502, "connection_ahead_failed", zapcore.DebugLevel,
		"A connection to a new endpoint could not be opened in advance.")
	eventEntryRefused = telemetry.NewEvent(1510, "entry_refused", zapcore.InfoLevel,
		"The entry rejected an invalid request before routing it.")
	eventEntryDrained = telemetry.NewEvent(1511, "entry_drained", zapcore.InfoLevel,
		"The entry has completed its drain.")
	eventEntryDrainCut = telemetry.NewEvent(1512, "entry_drain_cut", zapcore.WarnLevel,
		"A request was aborted because it had not completed by the deadline of the drain.")
)

// logDecision writes the decision log line of one call.
func (r *Router) logDecision(call *Call, d *Decision, outcome string, status int, err error) {
	if !r.options.Logger.Core().Enabled(eventDecision.Level) {
		return // building the fields takes a third of the allocations of a call
	}
	fields := make([]zap.Field, 0, 18) // 16 fields, the error and the event number, without reallocation
	fields = append(
		fields,
		zap.String("call", d.CallID),
		zap.String("method", call.Method),
		zap.String("host", call.Host),
		zap.String("path", call.Path),
		zap.String("member", d.Member),
		zap.String("service", d.Service),
		zap.String("route", d.Route),
		zap.String("version", d.Version),
		zap.String("endpoint", d.Endpoint),
		zap.String("reason", d.Reason),
		zap.Int("attempts", d.Attempts),
		zap.Int32("depth", call.Chain.Depth),
		zap.Uint64("config", d.Config),
		zap.String("outcome", outcome),
		zap.Int("status", status),
		zap.Duration("elapsed", d.Elapsed),
	)
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	eventDecision.Log(r.options.Logger, fields...)
}
