// Package move shifts the traffic of a service from an old to a new target
// version by a set time, or takes the new version back.
//
// Callers record the outcome of each attempt (Recorder), distributors sum the
// counters of their domain (DomainSum), the Judge compares both versions, the
// Controller runs one shard of services under a lease and publishes grants,
// and the Chooser enforces the grants where calls are routed.
package move
