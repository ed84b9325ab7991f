package admin

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventRequest = telemetry.NewEvent(1101, "admin_request", zapcore.InfoLevel,
		"The administration API handled an authenticated request.")
	eventDenied = telemetry.NewEvent(1102, "admin_denied", zapcore.WarnLevel,
		"The administration API rejected a request that has no valid token, exceeds a rate limit or lacks permission.")
	eventFailed = telemetry.NewEvent(1103, "admin_failed", zapcore.ErrorLevel,
		"A request to the administration API failed because of an internal error of the daemon.")
	eventWaitIncomplete = telemetry.NewEvent(1104, "admin_wait_incomplete", zapcore.WarnLevel,
		"An apply request stopped waiting before its version was in force in all failure domains.")
)
