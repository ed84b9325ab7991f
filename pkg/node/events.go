package node

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventStarted = telemetry.NewEvent(2200, "node_started", zapcore.InfoLevel,
		"The daemon listens and looks for its peers and the configuration.")
	eventReady = telemetry.NewEvent(2201, "node_ready", zapcore.InfoLevel,
		"The daemon holds a configuration and serves requests.")
	eventDraining = telemetry.NewEvent(2202, "node_draining", zapcore.InfoLevel,
		"A planned stop began; the daemon reports that it is not ready and ends what is under way.")
	eventStopped = telemetry.NewEvent(2203, "node_stopped", zapcore.InfoLevel,
		"The daemon has stopped; cut is the number of requests that had not ended.")
	eventConfigInForce = telemetry.NewEvent(2204, "config_in_force", zapcore.InfoLevel,
		"A newer configuration is in force.")
	eventConfigRejected = telemetry.NewEvent(2205, "config_rejected", zapcore.ErrorLevel,
		"The operator's configuration cannot be decoded; the former one stays in force.")
	eventStoreLost = telemetry.NewEvent(2206, "store_lost", zapcore.WarnLevel,
		"Calls to the store fail; another daemon follows the operator.")
	eventStoreBack = telemetry.NewEvent(2207, "store_back", zapcore.InfoLevel,
		"The store answers again.")
	eventWatchStarted = telemetry.NewEvent(2208, "watch_started", zapcore.InfoLevel,
		"This daemon follows the operator's configuration and orders for its peers.")
	eventWatchStopped = telemetry.NewEvent(2209, "watch_stopped", zapcore.InfoLevel,
		"Other daemons follow the operator.")
	eventWatchExpired = telemetry.NewEvent(2210, "watch_expired", zapcore.InfoLevel,
		"The store no longer holds the changes since the last answer; the state is read anew.")
	eventOrderSeen = telemetry.NewEvent(2211, "order_seen", zapcore.InfoLevel,
		"The operator's order of a move was read or has changed.")
	eventTargetAnnounced = telemetry.NewEvent(2212, "target_announced", zapcore.InfoLevel,
		"The target's announcement changed what is believed of it.")
	eventTargetRejected = telemetry.NewEvent(2213, "announcement_rejected", zapcore.WarnLevel,
		"An announcement was not accepted: it cannot be read, names another service, or is older than the held one.")
	eventTargetLeaves = telemetry.NewEvent(2214, "target_leaves", zapcore.InfoLevel,
		"The target leaves; it gets no request after part of the drain period.")
	eventTargetSilent = telemetry.NewEvent(2215, "target_silent", zapcore.WarnLevel,
		"The target has not announced itself for several intervals and counts as down.")
	eventRegistered = telemetry.NewEvent(2216, "registered", zapcore.InfoLevel,
		"The daemon's entry stands in the store, and the peers listed there were contacted.")
	eventRegisterFailed = telemetry.NewEvent(2217, "register_failed", zapcore.WarnLevel,
		"The daemon's entry could not be written or the peers not be listed; it is tried again.")
	eventPartFailed = telemetry.NewEvent(2218, "node_part_failed", zapcore.ErrorLevel,
		"A part of the daemon ended with an error; the daemon stops.")
	eventReload = telemetry.NewEvent(2219, "settings_reloaded", zapcore.InfoLevel,
		"The settings file was read again.")
	eventReloadFailed = telemetry.NewEvent(2220, "settings_rejected", zapcore.WarnLevel,
		"The changed settings file cannot be used; the former settings stay.")
	eventEntryRemoved = telemetry.NewEvent(2221, "entry_removed", zapcore.InfoLevel,
		"The store's entry of a daemon that was silent for long was removed.")
	eventReadFailed = telemetry.NewEvent(2222, "operator_read_failed", zapcore.WarnLevel,
		"The operator's configuration or orders could not be read.")
	eventEntryRejected = telemetry.NewEvent(2223, "entry_rejected", zapcore.WarnLevel,
		"An entry of the store among those of the daemons cannot be read; it is left out.")
	eventTargetLeft = telemetry.NewEvent(2224, "target_left_before", zapcore.InfoLevel,
		"A former process of this daemon had acknowledged that the target leaves; it gets no request.")
)
