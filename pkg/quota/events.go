package quota

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventLimited = telemetry.NewEvent(2400, "workspace_limited", zapcore.InfoLevel,
		"Requests of a workspace are refused, because it is over its limit; logged at most once a second for each workspace, with the number of refusals since the previous event.")
	eventNoAccountant = telemetry.NewEvent(2401, "workspace_unaccounted", zapcore.WarnLevel,
		"Requests of a workspace are refused, because no daemon that accounts for it answered; logged at most once a second for each workspace, with the number of refusals since the previous event.")
)
