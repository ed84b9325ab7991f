package route

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventDecision = telemetry.NewEvent(1500, "call_decision", zapcore.InfoLevel,
		"A call ended: its route, version, endpoint, attempts and outcome.")
	eventSetAside = telemetry.NewEvent(1501, "endpoint_attempt_failed", zapcore.DebugLevel,
		"An attempt failed or was refused; the endpoint may be set aside.")
	eventWarmFailed = telemetry.NewEvent(1502, "connection_ahead_failed", zapcore.DebugLevel,
		"A connection to a new endpoint could not be opened in advance.")
	eventRefusedInput = telemetry.NewEvent(1510, "entry_refused", zapcore.InfoLevel,
		"The entry refused a request before routing it.")
	eventDrained = telemetry.NewEvent(1511, "entry_drained", zapcore.InfoLevel,
		"The entry ended its drain.")
	eventDrainCut = telemetry.NewEvent(1512, "entry_drain_cut", zapcore.WarnLevel,
		"A request was cut because it had not ended by the drain's deadline.")
)

// logDecision writes the line of one call.
func (r *Router) logDecision(call *Call, d *Decision, outcome string, status int, err error) {
	if !r.options.Logger.Core().Enabled(eventDecision.Level) {
		return // the fields alone are a third of what a call allocates
	}
	fields := make([]zap.Field, 0, 18) // one more for the event number, no growth
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
