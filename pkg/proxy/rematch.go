package proxy

import (
	"context"
	"strings"
	"time"
)

// configTimeout bounds the wait for a configuration that a target side
// already has.
const configTimeout = 150 * time.Millisecond

// rematch waits for the newer configuration that a target side already has, and
// applies its route to the call. It reports false if the configuration does not
// arrive in time, has no route for the request or does not allow it.
func (s *requestState) rematch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	path, _, _ := strings.Cut(s.call.URI, "?")
	for s.refusalCount < maxRefusals {
		if table := s.ingress.Config.Load(); table.Version() > s.call.ConfigVersion {
			route := table.Match(s.call.Host, path)
			if route == nil {
				return false
			}
			decision := s.client.decide(table, route)
			if !decision.Allowed() {
				s.withdraw(table, decision)
				return false
			}
			s.setRoute(table, route, decision)
			clear(s.attempted)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return false
}
