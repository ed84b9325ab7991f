package rollout

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventPlanRejected = telemetry.NewEvent(2100, "plan_rejected", zapcore.WarnLevel,
		"The plan of a move could not be decoded; the former one stays.")
	eventPlanFollowed = telemetry.NewEvent(2101, "plan_followed", zapcore.InfoLevel,
		"A newer plan of a move is in force on this daemon.")
	eventPlanStep = telemetry.NewEvent(2102, "plan_step", zapcore.InfoLevel,
		"The controller changed the plan of a move; the counts are those that decided.")
	eventPlanWriteFailed = telemetry.NewEvent(2103, "plan_write_failed", zapcore.WarnLevel,
		"The plan of a move could not be recorded in the store; the controller tries again.")
	eventStatusFailed = telemetry.NewEvent(2104, "order_status_failed", zapcore.WarnLevel,
		"The state of an order could not be reported to the operator; the controller tries again.")
	eventStatusSet = telemetry.NewEvent(2105, "order_status_set", zapcore.InfoLevel,
		"The state of an order was reported to the operator.")
	eventControllerStarted = telemetry.NewEvent(2106, "controller_started", zapcore.InfoLevel,
		"This daemon judges the moves under way.")
	eventControllerStopped = telemetry.NewEvent(2107, "controller_stopped", zapcore.InfoLevel,
		"Another daemon judges the moves, or this one has no working store.")
	eventClosingWaits = telemetry.NewEvent(2108, "closing_waits", zapcore.InfoLevel,
		"A move is not completed yet, since a daemon has not confirmed that no request is at an old target.")
	eventReportRejected = telemetry.NewEvent(2109, "report_rejected", zapcore.WarnLevel,
		"The evidence of another daemon could not be decoded.")
)
