package admin

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventRequest = telemetry.NewEvent(1101, "admin_request", zapcore.InfoLevel,
		"The administration API answered a request of a token.")
	eventDenied = telemetry.NewEvent(1102, "admin_denied", zapcore.WarnLevel,
		"The administration API refused a request without a valid token, beyond a rate, or beyond the rights of its token.")
	eventFailed = telemetry.NewEvent(1103, "admin_failed", zapcore.ErrorLevel,
		"The administration API failed at a request because of a fault of the daemon.")
	eventWaitEnded = telemetry.NewEvent(1104, "admin_wait_incomplete", zapcore.WarnLevel,
		"An apply ended its wait before its version was in force everywhere.")
)
