package target

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Events of the target side.
var (
	eventAnswered = telemetry.NewEvent(1600, "call_answered", zapcore.InfoLevel,
		"A call ran and its whole answer was read.")
	eventRefused = telemetry.NewEvent(1601, "call_refused", zapcore.InfoLevel,
		"A call was not run; the refusal names the reason.")
	eventUnknown = telemetry.NewEvent(1602, "call_outcome_unknown", zapcore.WarnLevel,
		"A call was, or may have been, handed to a target and has no whole answer.")
	eventCallerError = telemetry.NewEvent(1603, "call_rejected", zapcore.InfoLevel,
		"A call was not run because of the caller's error.")
	eventAnnounced = telemetry.NewEvent(1610, "target_announced", zapcore.InfoLevel,
		"A target announced itself and is ready.")
	eventLeaving = telemetry.NewEvent(1611, "target_leaving", zapcore.InfoLevel,
		"The target takes no new work; the calls that run are finished.")
	eventDrained = telemetry.NewEvent(1612, "target_drained", zapcore.InfoLevel,
		"The target finished its calls; cut counts those that did not end by the drain deadline.")
	eventDown = telemetry.NewEvent(1613, "target_down", zapcore.WarnLevel,
		"The target accepts no connections or was announced gone.")
	eventUp = telemetry.NewEvent(1614, "target_up", zapcore.InfoLevel,
		"The target accepts connections again.")
	eventCrash = telemetry.NewEvent(1620, "target_crashed", zapcore.WarnLevel,
		"The target crashed; the requests in flight are suspects.")
	eventSuspect = telemetry.NewEvent(1621, "suspect_alone", zapcore.InfoLevel,
		"A request that was in flight at a crash is run alone.")
)
