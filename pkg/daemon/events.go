package daemon

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventStarted = telemetry.NewEvent(1000, "daemon_started", zapcore.InfoLevel,
		"The daemon listens and looks for its distributors.")
	eventReady = telemetry.NewEvent(1001, "daemon_ready", zapcore.InfoLevel,
		"The floor is known and met; the daemon serves calls.")
	eventDraining = telemetry.NewEvent(1002, "daemon_draining", zapcore.InfoLevel,
		"A graceful shutdown began.")
	eventDrained = telemetry.NewEvent(1003, "daemon_drained", zapcore.InfoLevel,
		"The graceful shutdown ended; cut is the number of calls that had not ended by the drain timeout.")
	eventStopped = telemetry.NewEvent(1004, "daemon_stopped", zapcore.InfoLevel,
		"The daemon has stopped.")
	eventPartFailed = telemetry.NewEvent(1005, "daemon_part_failed", zapcore.ErrorLevel,
		"A part of the daemon ended with an error; the daemon stops.")
	eventSubscribeFailed = telemetry.NewEvent(1006, "subscribe_failed", zapcore.WarnLevel,
		"The services that the own target needs cannot be subscribed to yet; it is tried again.")
	eventPushFailed = telemetry.NewEvent(1007, "push_failed", zapcore.WarnLevel,
		"A distributor could not be told of a newly accepted version; it learns it from the store.")
	eventCollectFailed = telemetry.NewEvent(1009, "collect_failed", zapcore.WarnLevel,
		"Unused blobs could not be removed from the store; it is tried again.")
	eventControllerFailed = telemetry.NewEvent(1008, "controller_failed", zapcore.WarnLevel,
		"A rollout controller ended with an error; its lease is contended for again.")
)
