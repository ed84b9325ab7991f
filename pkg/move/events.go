package move

import (
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Log events of moves.
var (
	eventStarted    = telemetry.NewEvent(1400, "controller started", zapcore.InfoLevel, "A rollout controller runs a shard with its fencing number.")
	eventStopped    = telemetry.NewEvent(1401, "controller stopped", zapcore.InfoLevel, "A rollout controller ended; the error says why, if there is one.")
	eventStep       = telemetry.NewEvent(1410, "share raised", zapcore.InfoLevel, "A step of a move was recorded and granted.")
	eventProbe      = telemetry.NewEvent(1411, "share lowered for comparison", zapcore.WarnLevel, "The new version looks worse after the last step; a part of the traffic is back on the old one to compare.")
	eventTakenBack  = telemetry.NewEvent(1412, "version taken back", zapcore.ErrorLevel, "The grant of a move was ended for good; the reason gives the counts.")
	eventRecorded   = telemetry.NewEvent(1413, "take-back recorded", zapcore.InfoLevel, "The store holds the record of a version that was taken back.")
	eventDone       = telemetry.NewEvent(1414, "move done", zapcore.InfoLevel, "All traffic is on the new version and the hold time is over.")
	eventLate       = telemetry.NewEvent(1415, "move late", zapcore.WarnLevel, "A move is not expected to be complete by its set time; it goes on.")
	eventReplaced   = telemetry.NewEvent(1416, "move replaced", zapcore.InfoLevel, "A later configuration version changed the definition of a move under way.")
	eventWithdrawn  = telemetry.NewEvent(1417, "move withdrawn", zapcore.InfoLevel, "A move under way is no longer in the configuration; its traffic goes to the service's version.")
	eventStoreError = telemetry.NewEvent(1420, "move record not written", zapcore.WarnLevel, "The store failed; shares are not raised until it answers, take-backs are in force all the same.")
	eventBadRecord  = telemetry.NewEvent(1421, "move record unreadable", zapcore.ErrorLevel, "A move record in the store cannot be decoded; the move does not go on until it is repaired or replaced.")
)
