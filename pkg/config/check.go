package config

import (
	"fmt"
	"time"
)

// Limits that the schema cannot express.
const (
	// MaxDeadline is the longest deadline of a call. It bounds the time for which a
	// call occupies a slot and its buffered body.
	MaxDeadline = 60 * time.Second
	minDeadline = time.Millisecond
	// minAttemptTime is a few times the 1.6 ms of latency that the mesh may add to
	// a call; a shorter attempt would consume the retry budget without a chance to
	// succeed.
	minAttemptTime = 5 * time.Millisecond
	maxColdStart   = time.Hour
	// minMoveNotice is the shortest time until the end of a new move. A shorter
	// time does not fit three steps of 10 s and the reserve for waiting.
	minMoveNotice = 40 * time.Second
	maxHold       = 24 * time.Hour
	maxMoveNotice = 400 * 24 * time.Hour
)

// checkService returns the problems within the definition of one service.
func checkService(service Located[Service]) []Problem {
	var problems []Problem
	definition := &service.Value
	if definition.Connections < definition.Slots {
		problems = append(problems, service.problem(".connections", definition.Connections,
			fmt.Sprintf("fewer connections than the %d slots", definition.Slots), "at least the number of slots"))
	}
	if time.Duration(definition.ColdStart) > maxColdStart {
		problems = append(problems, service.problem(".coldStart", definition.ColdStart, "cold start is too long", "at most "+maxColdStart.String()))
	}
	seen := map[string]bool{}
	for i, name := range definition.DependsOn {
		path := itemPath(".dependsOn", i)
		if name == definition.Name {
			problems = append(problems, service.problem(path, name, "service depends on itself", "another service"))
		}
		if seen[name] {
			problems = append(problems, service.problem(path, name, "dependency is repeated", "each service once"))
		}
		seen[name] = true
	}
	problems = append(problems, checkRoutes(service)...)
	return append(problems, checkMoveChain(service)...)
}

func checkRoutes(service Located[Service]) []Problem {
	var problems []Problem
	names := map[string]bool{}
	for i := range service.Value.Routes {
		route := &service.Value.Routes[i]
		path := itemPath(".routes", i)
		if names[route.Name] {
			problems = append(problems, service.problem(path+".name", route.Name, "route name is repeated", "a name that is unique in the service"))
		}
		names[route.Name] = true
		deadline := time.Duration(route.Deadline)
		if deadline < minDeadline || deadline > MaxDeadline {
			problems = append(problems, service.problem(path+".deadline", route.Deadline, "deadline is out of bounds",
				fmt.Sprintf("from %v to %v", minDeadline, MaxDeadline)))
			continue
		}
		if route.Retry != nil && deadline < time.Duration(route.Retry.Attempts)*minAttemptTime {
			problems = append(problems, service.problem(path+".retry.attempts", route.Retry.Attempts,
				fmt.Sprintf("the deadline %v is too short for so many attempts", deadline),
				fmt.Sprintf("at least %v of the deadline for each attempt", minAttemptTime)))
		}
	}
	return problems
}

// checkMoveChain checks that each move starts at the version at which the previous
// move ends, beginning with the version of the service, and ends at a later time.
func checkMoveChain(service Located[Service]) []Problem {
	var problems []Problem
	names := map[string]bool{}
	from, previousBy := service.Value.Version, time.Time{}
	for i, move := range service.Value.Moves {
		path := itemPath(".moves", i)
		if names[move.Name] {
			problems = append(problems, service.problem(path+".name", move.Name, "move name is repeated", "a name that is unique in the service"))
		}
		names[move.Name] = true
		if move.From != from {
			allowed := fmt.Sprintf("the service's version %q", from)
			if i > 0 {
				allowed = fmt.Sprintf("version %q, which the move before leads to", from)
			}
			problems = append(problems, service.problem(path+".from", move.From, "move does not begin where the traffic is", allowed))
		}
		if move.To == move.From {
			problems = append(problems, service.problem(path+".to", move.To, "move leads to the version it begins with", "another version"))
		}
		if time.Duration(move.Hold) > maxHold {
			problems = append(problems, service.problem(path+".hold", move.Hold, "hold time is too long", "at most "+maxHold.String()))
		}
		if !move.By.After(previousBy) {
			problems = append(problems, service.problem(path+".by", move.By, "move is to end before the move before it", "a time after "+previousBy.Format(time.RFC3339)))
		}
		from, previousBy = move.To, move.By
	}
	return problems
}

// checkVersionChange prevents shifting all traffic to another version at once: the
// version of a service may only change to the new version of a completed move.
func checkVersionChange(service Located[Service], current *Bundle, options Options) []Problem {
	if current == nil || service.Value.Version == current.Service.Version {
		return nil
	}
	for _, move := range current.Service.Moves {
		if options.MoveDone != nil && !options.MoveDone(service.Value.Name, move.Name, current.Generations[move.Name]) {
			break
		}
		if move.To == service.Value.Version {
			return nil
		}
	}
	return []Problem{service.problem(".version", service.Value.Version, "version changes without a move that is done",
		fmt.Sprintf("%q, or the version that a done move leads to", current.Service.Version))}
}

// checkMoveTimes checks the end times of new and changed moves. The end time of an
// unchanged move may be in the past.
func checkMoveTimes(service Located[Service], current *Bundle, now time.Time) []Problem {
	var problems []Problem
	earliest, latest := now.Add(minMoveNotice), now.Add(maxMoveNotice)
	for i, move := range service.Value.Moves {
		if old, ok := current.move(move.Name); ok && old.equal(move) {
			continue
		}
		if move.By.Before(earliest) || move.By.After(latest) {
			problems = append(problems, service.problem(itemPath(".moves", i)+".by", move.By, "time of a new move is out of bounds",
				fmt.Sprintf("from %s to %s", earliest.UTC().Format(time.RFC3339), latest.UTC().Format(time.RFC3339))))
		}
	}
	return problems
}

// move returns the definition of a move. A nil bundle has no moves.
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
