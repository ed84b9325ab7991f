package fleet

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventMemberJoined = telemetry.NewEvent(1900, "member_joined", zapcore.InfoLevel,
		"A daemon was heard of for the first time, or it restarted.")
	eventMemberSilent = telemetry.NewEvent(1901, "member_silent", zapcore.WarnLevel,
		"A daemon's beat has not advanced for some seconds; it holds no duty until it is heard again.")
	eventMemberHeard = telemetry.NewEvent(1902, "member_heard", zapcore.InfoLevel,
		"A silent daemon was heard again.")
	eventPeerUnreached = telemetry.NewEvent(1903, "peer_unreached", zapcore.DebugLevel,
		"An exchange with another daemon failed; a later one repairs what it would have carried.")
	eventStateRejected = telemetry.NewEvent(1904, "state_rejected", zapcore.WarnLevel,
		"A state of another daemon could not be decoded and was left out.")
	eventConfigFetched = telemetry.NewEvent(1905, "config_fetched", zapcore.InfoLevel,
		"A newer configuration was taken from another daemon.")
	eventConfigFetchFailed = telemetry.NewEvent(1906, "config_fetch_failed", zapcore.WarnLevel,
		"A newer configuration could not be taken from the daemon that holds it; it is tried again with the next exchange.")
)
