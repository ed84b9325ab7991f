package config

import "fmt"

// DeltaBaseError reports a delta that does not fit the version held.
type DeltaBaseError struct{ Base, Held uint64 }

func (e *DeltaBaseError) Error() string {
	return fmt.Sprintf("config: delta has base version %d, version %d is held", e.Base, e.Held)
}

// OldVersionError reports a version that is not newer than the one in force.
type OldVersionError struct{ Version, Held uint64 }

func (e *OldVersionError) Error() string {
	return fmt.Sprintf("config: version %d is not newer than version %d in force", e.Version, e.Held)
}

// DigestError reports content that does not have the expected digest.
type DigestError struct{ What, Want, Got string }

func (e *DigestError) Error() string {
	return fmt.Sprintf("config: %s has digest %s, expected %s", e.What, e.Got, e.Want)
}

// BundleError reports a bundle that cannot be decoded.
type BundleError struct {
	Digest string
	Cause  error
}

func (e *BundleError) Error() string {
	return fmt.Sprintf("config: bundle %s: %v", e.Digest, e.Cause)
}

// Unwrap returns the cause.
func (e *BundleError) Unwrap() error { return e.Cause }

// MissingBundleError reports a subscribed service whose bundle is not held.
type MissingBundleError struct{ Service, Digest string }

func (e *MissingBundleError) Error() string {
	return fmt.Sprintf("config: bundle %s of subscribed service %q is missing", e.Digest, e.Service)
}

// MissingServiceError reports a bundle that names a service which the version
// does not hold.
type MissingServiceError struct{ Service, Missing string }

func (e *MissingServiceError) Error() string {
	return fmt.Sprintf("config: service %q depends on service %q, which does not exist", e.Service, e.Missing)
}
