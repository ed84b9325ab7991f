package config

import "fmt"

// DeltaBaseError reports a delta whose base version is not the current version.
type DeltaBaseError struct{ Base, Current uint64 }

func (e *DeltaBaseError) Error() string {
	return fmt.Sprintf("config: delta has base version %d, but the current version is %d", e.Base, e.Current)
}

// OldVersionError reports a version that the current version supersedes.
type OldVersionError struct{ Version, Current uint64 }

func (e *OldVersionError) Error() string {
	return fmt.Sprintf("config: version %d is not newer than the current version %d", e.Version, e.Current)
}

// DigestError reports content that does not have the expected digest.
type DigestError struct{ Kind, Want, Got string }

func (e *DigestError) Error() string {
	return fmt.Sprintf("config: %s has digest %s, expected %s", e.Kind, e.Got, e.Want)
}

// BundleError reports a bundle, the teams or a manifest that cannot be decoded.
type BundleError struct {
	Digest string
	Cause  error
}

func (e *BundleError) Error() string {
	return fmt.Sprintf("config: bundle %s: %v", e.Digest, e.Cause)
}

// Unwrap returns the cause.
func (e *BundleError) Unwrap() error { return e.Cause }

// MissingBundleError reports a subscribed service whose bundle is neither cached
// nor part of the delta.
type MissingBundleError struct{ Service, Digest string }

func (e *MissingBundleError) Error() string {
	return fmt.Sprintf("config: bundle %s of subscribed service %q is neither cached nor in the delta", e.Digest, e.Service)
}

// MissingServiceError reports a bundle that depends on a service which is not in
// the manifest.
type MissingServiceError struct{ Service, Missing string }

func (e *MissingServiceError) Error() string {
	return fmt.Sprintf("config: service %q depends on service %q, which is not in the manifest", e.Service, e.Missing)
}
