// Package hfevent writes the program's log as numbered events. Each event has a
// fixed number and name, listed in Catalogue and in docs/EVENTS.md.
package hfevent

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line.
type Event struct {
	number int
	name   string
	level  zapcore.Level
	means  string
}

// Number returns the event's number, which never changes its meaning.
func (e Event) Number() int { return e.number }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns the severity with which the event is logged.
func (e Event) Level() zapcore.Level { return e.level }

// Means returns what the event tells an operator.
func (e Event) Means() string { return e.means }

// Log writes events to a zap logger and counts them in a metrics registry.
type Log struct {
	logger   *zap.Logger
	registry metrics.Registry
}

// New returns a log.
func New(logger *zap.Logger, registry metrics.Registry) *Log {
	return &Log{logger: logger, registry: registry}
}

// Event writes one event with its fields.
//
//	log.Event(hfevent.LeaderElected, zap.String("domain", "a"), zap.Int64("epoch", 7))
func (l *Log) Event(e Event, fields ...zap.Field) {
	metrics.GetOrRegisterCounter("event."+e.name, l.registry).Inc(1)
	if c := l.logger.Check(e.level, e.name); c != nil {
		c.Write(append(fields, zap.Int("event", e.number))...)
	}
}

// Sync flushes the logger.
func (l *Log) Sync() {
	_ = l.logger.Sync() // standard error cannot always be synced
}
