package admin

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// waitPoll is the time between two looks at the progress of a version. Members
// report once a second, so a shorter one would show nothing sooner.
const waitPoll = 200 * time.Millisecond

// wait returns when the version is in force everywhere or the time is over. A
// domain's version is the lowest in force there and never falls, so an old
// report cannot make a version look complete.
func (s *Server) wait(ctx context.Context, version uint64, waitMS int64) *WaitResult {
	if s.options.Status == nil {
		return &WaitResult{Reason: noProvider("status").Message}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for {
		result := s.progress(ctx, version)
		result.WaitedMS = time.Since(start).Milliseconds()
		if result.Complete {
			return result
		}
		select {
		case <-ctx.Done():
			eventWaitEnded.Log(s.options.Logger, zap.Uint64("version", version),
				zap.Int("domains_behind", len(result.Behind)), zap.String("reason", result.Reason))
			return result
		case <-ticker.C:
		}
	}
}

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
