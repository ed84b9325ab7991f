package target

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Log events of the target side.
var (
	eventAnswered = telemetry.NewEvent(1600, "call_answered", zapcore.InfoLevel,
		"A call ran and its complete response was read.")
	eventRefused = telemetry.NewEvent(1601, "call_refused", zapcore.InfoLevel,
		"A call was refused and not run; refusal and reason give the cause.")
	eventUnknown = telemetry.NewEvent(1602, "call_outcome_unknown", zapcore.WarnLevel,
		"A call was or may have been sent to a target, and no complete response was received.")
	eventBadRequest = telemetry.NewEvent(1603, "call_rejected", zapcore.InfoLevel,
		"A call was not run because of an error of the caller.")
	eventAnnounced = telemetry.NewEvent(1610, "target_announced", zapcore.InfoLevel,
		"A target announced itself and is ready.")
	eventLeaving = telemetry.NewEvent(1611, "target_leaving", zapcore.InfoLevel,
		"The target accepts no new calls; running calls are completed.")
	eventDrained = telemetry.NewEvent(1612, "target_drained", zapcore.InfoLevel,
		"The drain of the target ended; cut is the number of calls that had not ended by the drain deadline.")
	eventDown = telemetry.NewEvent(1613, "target_down", zapcore.WarnLevel,
		"The target accepts no connections.")
	eventUp = telemetry.NewEvent(1614, "target_up", zapcore.InfoLevel,
		"The target accepts connections again.")
	eventCrash = telemetry.NewEvent(1620, "target_crashed", zapcore.WarnLevel,
		"The target crashed; the requests in flight are marked as suspects.")
	eventSuspect = telemetry.NewEvent(1621, "suspect_alone", zapcore.InfoLevel,
		"A request that was in flight at a crash is run while no other request runs on the target.")
)
