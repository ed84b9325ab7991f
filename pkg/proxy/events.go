package proxy

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventRequest = telemetry.NewEvent(2000, "request", zapcore.InfoLevel,
		"The caller side ended a request: the outcome, the route and configuration version that decided, and each attempt with its target.")
	eventAttempt = telemetry.NewEvent(2001, "attempt", zapcore.InfoLevel,
		"The target side ended an attempt: refused with the reason, or sent to the target with its outcome, the load it met and the time it waited.")
	eventTargetDown = telemetry.NewEvent(2002, "target_down", zapcore.WarnLevel,
		"The target beside the daemon accepts no connection; calls are refused as not run.")
	eventTargetUp = telemetry.NewEvent(2003, "target_up", zapcore.InfoLevel,
		"The target beside the daemon accepts connections again.")
	eventSuspect = telemetry.NewEvent(2004, "suspect_request", zapcore.WarnLevel,
		"The target crashed while this request was in flight; after several crashes the request is refused.")
	eventAnswerCut = telemetry.NewEvent(2005, "answer_cut", zapcore.WarnLevel,
		"The body of an answer broke off after its head was delivered; the caller's connection is closed so that the answer does not look complete.")
	eventTargetPaused = telemetry.NewEvent(2006, "target_paused", zapcore.InfoLevel,
		"A target failed several attempts in a row and is left out for a while.")
	eventServerError = telemetry.NewEvent(2007, "server_error", zapcore.DebugLevel,
		"The HTTP server reports a problem with a connection.")
)
