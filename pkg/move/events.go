package move

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Log events of moves.
var (
	eventStarted    = telemetry.NewEvent(1400, "controller started", zapcore.InfoLevel, "A rollout controller started for a shard, with the fencing number of its lease.")
	eventStopped    = telemetry.NewEvent(1401, "controller stopped", zapcore.InfoLevel, "A rollout controller stopped; the error field gives the cause if it failed.")
	eventStep       = telemetry.NewEvent(1410, "share raised", zapcore.InfoLevel, "The store recorded a step of a move, and its share was granted.")
	eventProbe      = telemetry.NewEvent(1411, "share lowered for comparison", zapcore.WarnLevel, "The new version performs worse after the last step; part of the traffic returns to the old version for a comparison.")
	eventTakenBack  = telemetry.NewEvent(1412, "version taken back", zapcore.ErrorLevel, "The new version was taken back, which is final for this generation of the move; the reason field gives the counts.")
	eventRecorded   = telemetry.NewEvent(1413, "take-back recorded", zapcore.InfoLevel, "The store recorded that a version was taken back.")
	eventDone       = telemetry.NewEvent(1414, "move done", zapcore.InfoLevel, "All traffic is on the new version, and the hold time is over.")
	eventLate       = telemetry.NewEvent(1415, "move late", zapcore.WarnLevel, "A move is not expected to complete by its set time; it continues.")
	eventReplaced   = telemetry.NewEvent(1416, "move replaced", zapcore.InfoLevel, "A later configuration version changed the definition of a move in progress.")
	eventWithdrawn  = telemetry.NewEvent(1417, "move withdrawn", zapcore.InfoLevel, "A move in progress was removed from the configuration; its traffic goes to the service's version.")
	eventStoreError = telemetry.NewEvent(1420, "move record not written", zapcore.WarnLevel, "A read or write of a move record failed; shares are not raised until the store is available again, but take-backs take effect immediately.")
	eventBadRecord  = telemetry.NewEvent(1421, "move record unreadable", zapcore.ErrorLevel, "A move record in the store cannot be decoded; the move does not continue until the record is repaired or replaced.")
)
