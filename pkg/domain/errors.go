package domain

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// TaskError reports that the task pool rejected a task.
type TaskError struct{ Cause error }

func (e *TaskError) Error() string {
	return fmt.Sprintf("domain: task refused: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TaskError) Unwrap() error { return e.Cause }

// NotDistributorError reports a request that only a distributor can serve.
type NotDistributorError struct{ Name string }

func (e *NotDistributorError) Error() string {
	return fmt.Sprintf("domain: daemon %q is not a distributor", e.Name)
}

// WrongDomainError reports a member daemon that joined a distributor of
// another failure domain.
type WrongDomainError struct{ Want, Got string }

func (e *WrongDomainError) Error() string {
	return fmt.Sprintf("domain: member daemon of domain %q joined a distributor of domain %q", e.Got, e.Want)
}

// UnknownServiceError reports a subscription to a service that is not part of
// the version in force.
type UnknownServiceError struct {
	Service string
	Version uint64
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("domain: configuration version %d has no service %q", e.Version, e.Service)
}

// FirstReportError reports a stream whose first message is not a first report.
type FirstReportError struct{ Peer string }

func (e *FirstReportError) Error() string {
	return fmt.Sprintf("domain: stream of %q does not begin with a first report", e.Peer)
}

// MissingContentError reports a version of which a distributor lacks content.
type MissingContentError struct {
	Version uint64
	Digest  string
}

func (e *MissingContentError) Error() string {
	return fmt.Sprintf("domain: configuration version %d lacks content with digest %s", e.Version, e.Digest)
}

// NoDistributorError reports that no distributor is connected.
type NoDistributorError struct{ Domain string }

func (e *NoDistributorError) Error() string {
	return fmt.Sprintf("domain: no distributor of domain %q is connected", e.Domain)
}

var (
	eventTaskRefused = telemetry.NewEvent(1300, "task_refused", zapcore.ErrorLevel,
		"The task pool rejected a task, because the daemon has too many peers for its size.")
	eventVersionInForce = telemetry.NewEvent(1301, "version_in_force", zapcore.InfoLevel,
		"This daemon put a newer configuration version in force.")
	eventDeltaRefused = telemetry.NewEvent(1302, "delta_refused", zapcore.WarnLevel,
		"A configuration delta did not match its base version or failed validation; a full update is requested.")
	eventFeedJoined = telemetry.NewEvent(1303, "feed_joined", zapcore.InfoLevel,
		"This daemon joined a distributor.")
	eventFeedLost = telemetry.NewEvent(1304, "feed_lost", zapcore.WarnLevel,
		"The stream to a distributor ended or timed out.")
	eventFloorLearned = telemetry.NewEvent(1305, "floor_learned", zapcore.InfoLevel,
		"This daemon determined the floor, the lowest configuration version that it may serve.")
	eventStoreUnavailable = telemetry.NewEvent(1306, "domain_store_unavailable", zapcore.WarnLevel,
		"A store call of the distribution failed and will be retried.")
	eventDistributorStarted = telemetry.NewEvent(1310, "distributor_started", zapcore.InfoLevel,
		"This daemon became a distributor of its failure domain.")
	eventDistributorStopped = telemetry.NewEvent(1311, "distributor_stopped", zapcore.InfoLevel,
		"This daemon is no longer a distributor of its failure domain.")
	eventMemberLost = telemetry.NewEvent(1312, "member_lost", zapcore.WarnLevel,
		"A member daemon is silent and receives no new calls.")
	eventMemberDeparted = telemetry.NewEvent(1313, "member_departed", zapcore.WarnLevel,
		"A member daemon has left or is lost, and its membership lease has expired.")
	eventMassVanish = telemetry.NewEvent(1314, "mass_vanish", zapcore.ErrorLevel,
		"More than a third of the domain fell silent within 3 s; this is treated as a loss of the feeds, not of the daemons.")
	eventDomainLost = telemetry.NewEvent(1315, "domain_lost", zapcore.ErrorLevel,
		"No distributor of the other domain is reachable; its endpoints count as lost.")
	eventDomainFound = telemetry.NewEvent(1316, "domain_found", zapcore.InfoLevel,
		"A distributor of the other domain is reachable.")
	eventHeadLearned = telemetry.NewEvent(1317, "head_learned", zapcore.InfoLevel,
		"This distributor received or read a newer configuration version.")
	eventHeadWentBack = telemetry.NewEvent(1318, "head_went_back", zapcore.ErrorLevel,
		"The head in the store is older than the version in force and is ignored.")
	eventRecordsRepaired = telemetry.NewEvent(1319, "records_repaired", zapcore.WarnLevel,
		"A member daemon's records differed from the distributor's for 3 s; all records are sent again.")
	eventSuperseded = telemetry.NewEvent(1320, "distributor_superseded", zapcore.WarnLevel,
		"Another daemon holds this distributor's slot with a higher fencing number.")
)
