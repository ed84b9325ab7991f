// Package telemetry provides the numbered log events, the logger and the metrics
// endpoint of a daemon.
package telemetry

import (
	"fmt"
	"sort"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one entry of the event catalogue in docs/events.md. Numbers are
// assigned by package: 1000 daemon, 1100 admin, 1200 accept, 1300 domain,
// 1400 move, 1500 route, 1600 target, 1700 link, 1800 store, 1900 fleet,
// 2000 proxy, 2100 rollout, 2200 node, 2300 connguard, 2400 quota; 900 is for the logger itself.
type Event struct {
	Number  int
	Name    string
	Level   zapcore.Level
	Meaning string
}

var registry struct {
	sync.Mutex
	events map[int]Event
}

// NewEvent registers an event. It is meant for package-level variables and panics
// if the number is already registered.
func NewEvent(number int, name string, level zapcore.Level, meaning string) Event {
	registry.Lock()
	defer registry.Unlock()
	if registry.events == nil {
		registry.events = make(map[int]Event)
	}
	if existing, ok := registry.events[number]; ok {
		panic(fmt.Sprintf("telemetry: event %d is registered as %q and %q", number, existing.Name, name))
	}
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	registry.events[number] = event
	return event
}

// Events returns the registered events sorted by number.
func Events() []Event {
	registry.Lock()
	defer registry.Unlock()
	events := make([]Event, 0, len(registry.events))
	for _, event := range registry.events {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log writes the event with its number if the logger enables its level.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if entry := logger.Check(e.Level, e.Name); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}
