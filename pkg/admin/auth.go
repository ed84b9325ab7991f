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

// principal is one configured token.
type principal struct {
	token   Token
	digest  []byte
	limiter *rate.Limiter
}

// authenticator finds the principal of a request.
type authenticator struct {
	principals []*principal
	// strangers bounds requests without a valid token, and so guesses.
	strangers *rate.Limiter
}

func newAuthenticator(s Settings) *authenticator {
	limit := func() *rate.Limiter { return rate.NewLimiter(rate.Limit(s.RequestsPerSecond), s.Burst) }
	a := &authenticator{strangers: limit()}
	for _, token := range s.Tokens {
		digest, _ := hex.DecodeString(token.SHA256) // checked by Validate
		a.principals = append(a.principals, &principal{token: token, digest: digest, limiter: limit()})
	}
	return a
}

// find compares the digest of the presented token with every configured one in
// constant time, so that the time tells nothing about a token.
func (a *authenticator) find(header string) *principal {
	scheme, presented, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || presented == "" {
		return nil
	}
	digest := sha256.Sum256([]byte(presented))
	var found *principal
	for _, p := range a.principals {
		if subtle.ConstantTimeCompare(digest[:], p.digest) == 1 {
			found = p
		}
	}
	return found
}

// admit returns the principal of a request, or why it is refused.
func (a *authenticator) admit(header string) (*principal, *Failure) {
	p := a.find(header)
	limiter := a.strangers
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

// ForbiddenError reports a change that the token does not allow.
type ForbiddenError struct{ Token, What, Team string }

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("admin: token %q may not change %s of team %q", e.Token, e.What, e.Team)
}

// authorize allows a change if every service and team that it touches belongs
// to the token's teams, both before and after.
func (p *principal) authorize(diff config.Diff) error {
	if len(p.token.Teams) == 0 {
		return nil
	}
	for _, team := range diff.Teams {
		if !slices.Contains(p.token.Teams, team.Name) {
			return &ForbiddenError{Token: p.token.Name, What: "the entry", Team: team.Name}
		}
	}
	for _, service := range diff.Services {
		for _, team := range []string{service.TeamBefore, service.TeamAfter} {
			if team != "" && !slices.Contains(p.token.Teams, team) {
				return &ForbiddenError{Token: p.token.Name, What: fmt.Sprintf("service %q", service.Name), Team: team}
			}
		}
	}
	return nil
}
