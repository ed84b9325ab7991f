package admin

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// waitPollInterval is the interval between two checks of a version's progress.
// Members report once a second, so a shorter interval would not detect completion
// earlier.
const waitPollInterval = 200 * time.Millisecond

// waitInForce waits until the version is in force in all failure domains, or
// until waitMS has passed. The version of a domain is the lowest version in force
// there and never decreases, so a stale report cannot make a version appear
// complete.
func (s *Server) waitInForce(ctx context.Context, version uint64, waitMS int64) *WaitResult {
	if s.options.Status == nil {
		return &WaitResult{Reason: noProvider("status").Message}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for {
		result := s.progress(ctx, version)
		result.WaitedMS = time.Since(start).Milliseconds()
		if result.Complete {
			return result
		}
		select {
		case <-ctx.Done():
			eventWaitIncomplete.Log(s.options.Logger, zap.Uint64("version", version),
				zap.Int("domains_behind", len(result.Behind)), zap.String("reason", result.Reason))
			return result
		case <-ticker.C:
		}
	}
}

// progress compares the versions that the domains last reported with version.
func (s *Server) progress(ctx context.Context, version uint64) *WaitResult {
	status, err := s.options.Status.Status(ctx)
	if err != nil {
		return &WaitResult{Reason: "progress is not known: " + err.Error()}
	}
	result := &WaitResult{}
	for _, domain := range status.Domains {
		if domain.Version < version {
			result.Behind = append(result.Behind, domain)
		}
	}
	if len(status.Domains) == 0 {
		result.Reason = "progress is not known: no domain has reported"
	}
	result.Complete = len(status.Domains) > 0 && len(result.Behind) == 0
	return result
}
