package rollout

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventPlanRejected = telemetry.NewEvent(2100, "plan_rejected", zapcore.WarnLevel,
		"An order or the plan of a move could not be decoded; the previous plan stays in force.")
	eventPlanFollowed = telemetry.NewEvent(2101, "plan_followed", zapcore.InfoLevel,
		"A newer plan of a move is in force on this daemon.")
	eventPlanStep = telemetry.NewEvent(2102, "plan_step", zapcore.InfoLevel,
		"The controller changed the plan of a move. The counts are those on which it decided.")
	eventPlanWriteFailed = telemetry.NewEvent(2103, "plan_write_failed", zapcore.WarnLevel,
		"The plan or state of a move could not be read or written, or its task could not be started; the controller retries.")
	eventStatusFailed = telemetry.NewEvent(2104, "order_status_failed", zapcore.WarnLevel,
		"The state of an order could not be reported to the operator; the controller retries.")
	eventStatusSet = telemetry.NewEvent(2105, "order_status_set", zapcore.InfoLevel,
		"The state of an order was reported to the operator.")
	eventControllerStarted = telemetry.NewEvent(2106, "controller_started", zapcore.InfoLevel,
		"This daemon became the controller of the active moves.")
	eventControllerStopped = telemetry.NewEvent(2107, "controller_stopped", zapcore.InfoLevel,
		"This daemon is no longer the controller: another daemon has the role, this daemon's store operations fail, or no order is open.")
	eventClosingWaits = telemetry.NewEvent(2108, "closing_waits", zapcore.InfoLevel,
		"A move cannot be completed until the named daemon confirms that no request is in flight at an old target or, if none is named, until the controller has heard its peers for long enough.")
	eventOrderWithoutPlan = telemetry.NewEvent(2110, "order_without_plan", zapcore.InfoLevel,
		"An order has no plan yet. Its target version gets no requests until a controller publishes one, unless the operator was told that the move is completed.")
	eventPlanAdopted = telemetry.NewEvent(2111, "plan_adopted", zapcore.WarnLevel,
		"Another controller has recorded a plan of the same order; the controller continues with it in place of its own.")
	eventEndDiffers = telemetry.NewEvent(2112, "end_differs", zapcore.WarnLevel,
		"The operator was told another end of a move than the one recorded. The reported end is put in force and recorded.")
	eventOrderReplaced = telemetry.NewEvent(2113, "order_replaced", zapcore.InfoLevel,
		"The operator has replaced an order; its controller ends the move and leaves the record to the later order.")
	eventReportRejected = telemetry.NewEvent(2109, "report_rejected", zapcore.WarnLevel,
		"A report of evidence from a peer daemon could not be decoded.")
)
