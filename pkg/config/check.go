package config

import (
	"fmt"
	"time"
)

// Bounds of what the schema cannot express.
const (
	// MaxDeadline keeps a call from holding a slot and its body for longer
	// than the store's own watches wait.
	MaxDeadline = 60 * time.Second
	minDeadline = time.Millisecond
	// minAttemptTime is a few times the 1.6 ms that the mesh may add to a call;
	// an attempt with less time would only spend the retry budget.
	minAttemptTime = 5 * time.Millisecond
	maxColdStart   = time.Hour
	// minMoveTime is the shortest notice of a new move: three steps of 10 s with
	// the reserve for waiting do not fit in less.
	minMoveTime = 40 * time.Second
	maxHold     = 24 * time.Hour
	maxMoveTime = 400 * 24 * time.Hour
)

// checkService returns the problems that one service has by itself.
func checkService(p Placed[Service]) []Problem {
	var problems []Problem
	s := &p.Value
	if s.Connections < s.Slots {
		problems = append(problems, p.problem(".connections", s.Connections,
			fmt.Sprintf("fewer connections than the %d slots", s.Slots), "at least the number of slots"))
	}
	if time.Duration(s.ColdStart) > maxColdStart {
		problems = append(problems, p.problem(".coldStart", s.ColdStart, "cold start is too long", "at most "+maxColdStart.String()))
	}
	seen := map[string]bool{}
	for i, name := range s.DependsOn {
		path := itemPath(".dependsOn", i)
		if name == s.Name {
			problems = append(problems, p.problem(path, name, "service depends on itself", "another service"))
		}
		if seen[name] {
			problems = append(problems, p.problem(path, name, "dependency is repeated", "each service once"))
		}
		seen[name] = true
	}
	problems = append(problems, checkRoutes(p)...)
	return append(problems, checkMoveChain(p)...)
}

func checkRoutes(p Placed[Service]) []Problem {
	var problems []Problem
	names := map[string]bool{}
	for i := range p.Value.Routes {
		route := &p.Value.Routes[i]
		path := itemPath(".routes", i)
		if names[route.Name] {
			problems = append(problems, p.problem(path+".name", route.Name, "route name is repeated", "a name that is unique in the service"))
		}
		names[route.Name] = true
		deadline := time.Duration(route.Deadline)
		if deadline < minDeadline || deadline > MaxDeadline {
			problems = append(problems, p.problem(path+".deadline", route.Deadline, "deadline is out of bounds",
				fmt.Sprintf("from %v to %v", minDeadline, MaxDeadline)))
			continue
		}
		if route.Retry != nil && deadline < time.Duration(route.Retry.Attempts)*minAttemptTime {
			problems = append(problems, p.problem(path+".retry.attempts", route.Retry.Attempts,
				fmt.Sprintf("the deadline %v is too short for so many attempts", deadline),
				fmt.Sprintf("at least %v of the deadline for each attempt", minAttemptTime)))
		}
	}
	return problems
}

// checkMoveChain checks that the moves lead from the service's version through
// one version after the other, each by a later time.
func checkMoveChain(p Placed[Service]) []Problem {
	var problems []Problem
	names := map[string]bool{}
	from, by := p.Value.Version, time.Time{}
	for i, move := range p.Value.Moves {
		path := itemPath(".moves", i)
		if names[move.Name] {
			problems = append(problems, p.problem(path+".name", move.Name, "move name is repeated", "a name that is unique in the service"))
		}
		names[move.Name] = true
		if move.From != from {
			allowed := fmt.Sprintf("the service's version %q", from)
			if i > 0 {
				allowed = fmt.Sprintf("version %q, which the move before leads to", from)
			}
			problems = append(problems, p.problem(path+".from", move.From, "move does not begin where the traffic is", allowed))
		}
		if move.To == move.From {
			problems = append(problems, p.problem(path+".to", move.To, "move leads to the version it begins with", "another version"))
		}
		if time.Duration(move.Hold) > maxHold {
			problems = append(problems, p.problem(path+".hold", move.Hold, "hold time is too long", "at most "+maxHold.String()))
		}
		if !move.By.After(by) {
			problems = append(problems, p.problem(path+".by", move.By, "move is to end before the move before it", "a time after "+by.Format(time.RFC3339)))
		}
		from, by = move.To, move.By
	}
	return problems
}

// checkVersionChange refuses to put all traffic on another version at once: the
// version of a service follows a move that is done.
func checkVersionChange(p Placed[Service], current *Bundle, options Options) []Problem {
	if current == nil || p.Value.Version == current.Service.Version {
		return nil
	}
	for _, move := range current.Service.Moves {
		if options.MoveDone != nil && !options.MoveDone(p.Value.Name, move.Name, current.Generations[move.Name]) {
			break
		}
		if move.To == p.Value.Version {
			return nil
		}
	}
	return []Problem{p.problem(".version", p.Value.Version, "version changes without a move that is done",
		fmt.Sprintf("%q, or the version that a done move leads to", current.Service.Version))}
}

// checkMoveTimes checks the set times of moves that are new or changed. The
// time of a move that goes on may have passed.
func checkMoveTimes(p Placed[Service], current *Bundle, now time.Time) []Problem {
	var problems []Problem
	earliest, latest := now.Add(minMoveTime), now.Add(maxMoveTime)
	for i, move := range p.Value.Moves {
		if old, ok := current.move(move.Name); ok && old.equal(move) {
			continue
		}
		if move.By.Before(earliest) || move.By.After(latest) {
			problems = append(problems, p.problem(itemPath(".moves", i)+".by", move.By, "time of a new move is out of bounds",
				fmt.Sprintf("from %s to %s", earliest.UTC().Format(time.RFC3339), latest.UTC().Format(time.RFC3339))))
		}
	}
	return problems
}

// move returns the definition of a move; a nil bundle has none.
func (b *Bundle) move(name string) (Move, bool) {
	if b != nil {
		for _, move := range b.Service.Moves {
			if move.Name == name {
				return move, true
			}
		}
	}
	return Move{}, false
}

func (m Move) equal(other Move) bool {
	sameTime := m.By.Equal(other.By)
	m.By, other.By = time.Time{}, time.Time{}
	return sameTime && m == other
}
