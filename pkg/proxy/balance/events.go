package balance

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var eventTargetPaused = telemetry.NewEvent(2006, "target_paused", zapcore.InfoLevel,
	"A target failed several consecutive attempts and gets no calls during the pause.")
