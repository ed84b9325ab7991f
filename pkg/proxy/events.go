package proxy

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventRequest = telemetry.NewEvent(2000, "request", zapcore.InfoLevel,
		"The caller side completed a request; the event has the result, the matched route, the configuration version and each attempt with its target.")
	eventAttempt = telemetry.NewEvent(2001, "attempt", zapcore.InfoLevel,
		"The target side completed an attempt: it refused the call with a reason, or sent it to the target. The event has the outcome, the load of the target and the time in the queue.")
	eventTargetDown = telemetry.NewEvent(2002, "target_down", zapcore.WarnLevel,
		"The local target does not accept connections; calls are refused without being run.")
	eventTargetUp = telemetry.NewEvent(2003, "target_up", zapcore.InfoLevel,
		"The local target accepts connections again.")
	eventSuspect = telemetry.NewEvent(2004, "suspect_request", zapcore.WarnLevel,
		"A target crashed while this request was in flight. The verdict says how the request may run from now on: alone after several crashes, not at all after crashes while it ran as a suspect.")
	eventAnswerCut = telemetry.NewEvent(2005, "answer_cut", zapcore.WarnLevel,
		"A response body was interrupted after the response header had been sent; the caller's connection is closed so that the caller detects the truncation.")
	eventServerError = telemetry.NewEvent(2007, "server_error", zapcore.DebugLevel,
		"The HTTP server reported a problem with a connection.")
	eventSuspectAlone = telemetry.NewEvent(2018, "suspect_request_alone", zapcore.InfoLevel,
		"A request that was in flight at several crashes waits until no other request runs at the target, as far as its time allows.")
	eventSuspectCleared = telemetry.NewEvent(2019, "suspect_request_cleared", zapcore.InfoLevel,
		"A request that was in flight at several crashes ran without one; the crashes before no longer count.")
	eventRateLimit = telemetry.NewEvent(2008, "target_rate_limit", zapcore.InfoLevel,
		"The local target named another rate limit in a response, or no longer names one (limit 0, in requests per second).")
	eventKeyStale = telemetry.NewEvent(2020, "key_stale", zapcore.InfoLevel,
		"The target side has a newer configuration, in which the key of a call belongs to another workspace or to none; the caller side checks the request again.")
	eventKeyWithdrawn = telemetry.NewEvent(2021, "key_withdrawn", zapcore.InfoLevel,
		"A newer configuration, which came into force while the request was waiting, does not allow it; it was not run.")
	eventColdRate = telemetry.NewEvent(2009, "target_cold_rate", zapcore.InfoLevel,
		"The local target counts as cold and gets at most limit requests per second, or counts as warm (limit 0); lost tells that its state is unknown since a lost connection.")
)
