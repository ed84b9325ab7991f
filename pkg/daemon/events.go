package daemon

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventStarted = telemetry.NewEvent(1000, "daemon_started", zapcore.InfoLevel,
		"The daemon opened its listeners and is connecting to its distributors.")
	eventReady = telemetry.NewEvent(1001, "daemon_ready", zapcore.InfoLevel,
		"The configuration in force has reached the floor version; the daemon serves calls.")
	eventDraining = telemetry.NewEvent(1002, "daemon_draining", zapcore.InfoLevel,
		"The graceful shutdown started.")
	eventDrained = telemetry.NewEvent(1003, "daemon_drained", zapcore.InfoLevel,
		"The graceful shutdown finished; cut is the number of calls that had not finished by the drain timeout.")
	eventStopped = telemetry.NewEvent(1004, "daemon_stopped", zapcore.InfoLevel,
		"The daemon has stopped.")
	eventPartFailed = telemetry.NewEvent(1005, "daemon_part_failed", zapcore.ErrorLevel,
		"A part of the daemon failed; the daemon stops.")
	eventSubscribeFailed = telemetry.NewEvent(1006, "subscribe_failed", zapcore.WarnLevel,
		"Subscribing to the services that the local target needs failed; the daemon retries.")
	eventPushFailed = telemetry.NewEvent(1007, "push_failed", zapcore.WarnLevel,
		"A distributor could not be notified of a newly accepted version; it will read the version from the store.")
	eventCollectFailed = telemetry.NewEvent(1009, "collect_failed", zapcore.WarnLevel,
		"Removing unused blobs from the store failed; the daemon retries.")
	eventControllerFailed = telemetry.NewEvent(1008, "controller_failed", zapcore.WarnLevel,
		"A rollout controller failed; a controller of its shard starts again at the next acquisition of the lease.")
)
