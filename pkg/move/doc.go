// Package move shifts the traffic of a service from an old to a new target
// version by a set time, or takes the new version back (rolls back to the old
// one) when it performs worse.
//
// Callers record the outcome of each attempt (Recorder), and distributors sum
// the counters of their domain (DomainSum). The Judge compares both versions.
// The Controller runs one shard of services under a lease and publishes grants,
// and the Chooser applies the grants where calls are routed.
package move
