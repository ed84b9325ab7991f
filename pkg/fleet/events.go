package fleet

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventMemberJoined = telemetry.NewEvent(1900, "member_joined", zapcore.InfoLevel,
		"A daemon was discovered or has restarted.")
	eventMemberSilent = telemetry.NewEvent(1901, "member_silent", zapcore.WarnLevel,
		"No heartbeat of a daemon was received for several seconds; the daemon gets no role until its heartbeat advances.")
	eventMemberHeard = telemetry.NewEvent(1902, "member_heard", zapcore.InfoLevel,
		"The heartbeat of a silent daemon has advanced.")
	eventPeerUnreached = telemetry.NewEvent(1903, "peer_unreached", zapcore.DebugLevel,
		"A message to a peer could not be sent or received; a later exchange delivers its content.")
	eventStateRejected = telemetry.NewEvent(1904, "state_rejected", zapcore.WarnLevel,
		"The state of a peer could not be decoded and was ignored.")
	eventConfigFetched = telemetry.NewEvent(1905, "config_fetched", zapcore.InfoLevel,
		"A newer configuration was fetched from a peer.")
	eventConfigFetchFailed = telemetry.NewEvent(1906, "config_fetch_failed", zapcore.WarnLevel,
		"A newer configuration could not be fetched from a peer; the next exchange triggers a retry.")
	eventMessageFailed = telemetry.NewEvent(1907, "message_failed", zapcore.ErrorLevel,
		"The processing of a peer's message panicked. The message was dropped.")
	eventSuspended = telemetry.NewEvent(1908, "suspended", zapcore.WarnLevel,
		"This daemon or its machine was suspended. Until its peers have had time to be heard again, it does not take their silence for their absence.")
)
