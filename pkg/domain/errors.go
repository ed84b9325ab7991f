package domain

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// TaskError reports that the task pool refused a task.
type TaskError struct{ Cause error }

func (e *TaskError) Error() string { return fmt.Sprintf("domain: task refused: %v", e.Cause) }

// Unwrap returns the cause.
func (e *TaskError) Unwrap() error { return e.Cause }

// NotDistributorError reports that a daemon was asked for what only a
// distributor does.
type NotDistributorError struct{ Name string }

func (e *NotDistributorError) Error() string {
	return fmt.Sprintf("domain: daemon %q is not a distributor", e.Name)
}

// OtherDomainError reports a member daemon that joined a distributor of
// another failure domain.
type OtherDomainError struct{ Want, Got string }

func (e *OtherDomainError) Error() string {
	return fmt.Sprintf("domain: member daemon of domain %q joined a distributor of domain %q", e.Got, e.Want)
}

// UnknownServiceError reports a subscription to a service that the version in
// force does not have.
type UnknownServiceError struct {
	Service string
	Version uint64
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("domain: version %d has no service %q", e.Version, e.Service)
}

// FirstReportError reports a stream that did not begin with a first report.
type FirstReportError struct{ Peer string }

func (e *FirstReportError) Error() string {
	return fmt.Sprintf("domain: stream of %q does not begin with a first report", e.Peer)
}

// StaleContentError reports configuration content that a distributor cannot
// complete.
type StaleContentError struct {
	Version uint64
	Digest  string
}

func (e *StaleContentError) Error() string {
	return fmt.Sprintf("domain: version %d lacks content %s", e.Version, e.Digest)
}

// NoDistributorError reports that no distributor is connected.
type NoDistributorError struct{ Domain string }

func (e *NoDistributorError) Error() string {
	return fmt.Sprintf("domain: no distributor of domain %q is connected", e.Domain)
}

var (
	eventTaskRefused = telemetry.NewEvent(1300, "task_refused", zapcore.ErrorLevel,
		"The task pool refused a task; the daemon has too many peers for its pool.")
	eventVersionInForce = telemetry.NewEvent(1301, "version_in_force", zapcore.InfoLevel,
		"This daemon swapped to a newer configuration version.")
	eventDeltaRefused = telemetry.NewEvent(1302, "delta_refused", zapcore.WarnLevel,
		"A configuration delta did not fit or failed its checks; a full update is asked for.")
	eventFeedJoined = telemetry.NewEvent(1303, "feed_joined", zapcore.InfoLevel,
		"This daemon joined a distributor.")
	eventFeedLost = telemetry.NewEvent(1304, "feed_lost", zapcore.WarnLevel,
		"The stream to a distributor ended or fell silent.")
	eventFloorLearned = telemetry.NewEvent(1305, "floor_learned", zapcore.InfoLevel,
		"This daemon learned the lowest configuration version that it may serve.")
	eventStoreUnavailable = telemetry.NewEvent(1306, "domain_store_unavailable", zapcore.WarnLevel,
		"A store call of the distribution failed and is tried again.")
	eventDistributorStarted = telemetry.NewEvent(1310, "distributor_started", zapcore.InfoLevel,
		"This daemon feeds its failure domain.")
	eventDistributorStopped = telemetry.NewEvent(1311, "distributor_stopped", zapcore.InfoLevel,
		"This daemon no longer feeds its failure domain.")
	eventMemberLost = telemetry.NewEvent(1312, "member_lost", zapcore.WarnLevel,
		"A member daemon is silent and gets no new calls.")
	eventMemberDeparted = telemetry.NewEvent(1313, "member_departed", zapcore.WarnLevel,
		"A member daemon is gone and its membership lease has ended.")
	eventMassVanish = telemetry.NewEvent(1314, "mass_vanish", zapcore.ErrorLevel,
		"More than a third of the domain fell silent within 3 s; it is held to be a loss of the feed.")
	eventDomainLost = telemetry.NewEvent(1315, "domain_lost", zapcore.ErrorLevel,
		"No distributor of another domain is reachable; its endpoints count as lost.")
	eventDomainFound = telemetry.NewEvent(1316, "domain_found", zapcore.InfoLevel,
		"A distributor of another domain is reachable.")
	eventHeadLearned = telemetry.NewEvent(1317, "head_learned", zapcore.InfoLevel,
		"This distributor learned of a newer configuration version.")
	eventHeadWentBack = telemetry.NewEvent(1318, "head_went_back", zapcore.ErrorLevel,
		"The store's head is older than the version in force; it is ignored.")
	eventRecordsRepaired = telemetry.NewEvent(1319, "records_repaired", zapcore.WarnLevel,
		"A member daemon's records differed for 3 s; all were sent again.")
	eventSuperseded = telemetry.NewEvent(1320, "distributor_superseded", zapcore.WarnLevel,
		"Another daemon holds this distributor's slot with a higher fencing number.")
)
