package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/config"
)

const digestBytes = sha256.Size

// principal is the holder of a configured token.
type principal struct {
	token   Token
	digest  []byte
	limiter *rate.Limiter
}

// authenticator maps bearer tokens to principals and limits request rates.
type authenticator struct {
	principals []*principal
	// unauthenticated limits all requests without a valid token together, and
	// thereby the rate of guessing tokens.
	unauthenticated *rate.Limiter
}

func newAuthenticator(s Settings) *authenticator {
	limit := func() *rate.Limiter { return rate.NewLimiter(rate.Limit(s.RequestsPerSecond), s.Burst) }
	a := &authenticator{unauthenticated: limit()}
	for _, token := range s.Tokens {
		digest, _ := hex.DecodeString(token.SHA256) // checked by Validate
		a.principals = append(a.principals, &principal{token: token, digest: digest, limiter: limit()})
	}
	return a
}

// principalFor returns the principal of an Authorization header, or nil. It
// compares the digest of the token with every configured digest in constant time
// to prevent timing attacks.
func (a *authenticator) principalFor(header string) *principal {
	scheme, presented, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || presented == "" {
		return nil
	}
	digest := sha256.Sum256([]byte(presented))
	var match *principal
	for _, p := range a.principals {
		if subtle.ConstantTimeCompare(digest[:], p.digest) == 1 {
			match = p
		}
	}
	return match
}

// authenticate returns the principal of a request, or the reason for rejecting
// the request. The principal is also set if its rate limit is exceeded.
func (a *authenticator) authenticate(header string) (*principal, *Failure) {
	p := a.principalFor(header)
	limiter := a.unauthenticated
	if p != nil {
		limiter = p.limiter
	}
	switch {
	case !limiter.Allow():
		return p, &Failure{Kind: KindRateLimited, Message: "too many requests, try again in a second"}
	case p == nil:
		return nil, &Failure{Kind: KindUnauthorized, Message: "a valid bearer token is needed"}
	default:
		return p, nil
	}
}

// ForbiddenError reports a change that the token's permissions do not cover.
type ForbiddenError struct{ Token, Resource, Team string }

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("admin: token %q may not change %s of team %q", e.Token, e.Resource, e.Team)
}

// authorize permits a change only if every service and team in it belongs to
// the token's teams, both before and after the change.
func (p *principal) authorize(diff config.Diff) error {
	if len(p.token.Teams) == 0 {
		return nil
	}
	for _, team := range diff.Teams {
		if !slices.Contains(p.token.Teams, team.Name) {
			return &ForbiddenError{Token: p.token.Name, Resource: "the entry", Team: team.Name}
		}
	}
	for _, service := range diff.Services {
		for _, team := range []string{service.TeamBefore, service.TeamAfter} {
			if team != "" && !slices.Contains(p.token.Teams, team) {
				return &ForbiddenError{Token: p.token.Name, Resource: fmt.Sprintf("service %q", service.Name), Team: team}
			}
		}
	}
	return nil
}
