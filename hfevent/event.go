// Package hfevent writes structured log lines as numbered events. The number and name
// of an event never change; Catalogue and docs/EVENTS.md list them all.
package hfevent

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a type of log line with a fixed number, name and severity.
type Event struct {
	number      int
	name        string
	level       zapcore.Level
	description string
}

// Number returns the event's number. It never changes, nor does its meaning.
func (e Event) Number() int { return e.number }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns the severity at which the event is logged.
func (e Event) Level() zapcore.Level { return e.level }

// Description returns a sentence that explains the event to operators.
func (e Event) Description() string { return e.description }

// Log writes events to a zap logger and counts each of them in a metrics registry.
type Log struct {
	logger   *zap.Logger
	registry metrics.Registry
}

// New returns a Log that writes to logger and counts in registry.
func New(logger *zap.Logger, registry metrics.Registry) *Log {
	return &Log{logger: logger, registry: registry}
}

// Event logs e with the given fields and increments the event's counter.
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
	_ = l.logger.Sync() // fails where standard error does not support syncing
}
