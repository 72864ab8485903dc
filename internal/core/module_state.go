package core

import (
	"time"

	"oakseam/internal/logging"
	"oakseam/logic"
)

// avoidanceReporter is a module that reports how many backends it avoids.
type avoidanceReporter interface{ CountAvoided(time.Duration) int }

// BackendCounts are the numbers of backends at one instant.
type BackendCounts struct {
	Listed   int
	Avoided  int // that get no requests now, draining ones included; 0 if the module doesn't report it
	Draining int
}

// BackendCounts returns the present numbers of backends.
func (e *Engine) BackendCounts() BackendCounts {
	c := BackendCounts{Listed: len(e.backends)}
	if m, ok := e.module.(avoidanceReporter); ok {
		c.Avoided = m.CountAvoided(e.moduleTime(e.env.Now()))
	}
	for _, b := range e.backends {
		if b.State != logic.Serving {
			c.Draining++
		}
	}
	return c
}

// stateTransferrer is a module that exports what it has learned and imports it from another.
type stateTransferrer interface {
	ExportLearned() ([]byte, error)
	ImportLearned([]byte) error
	ImportAfterRestart([]byte) error
}

// The optional interfaces are found by type assertion, so a renamed method would go unnoticed.
var (
	_ avoidanceReporter = (*logic.Balancer)(nil)
	_ stateTransferrer  = (*logic.Balancer)(nil)
)

// ExportModuleState returns what the module has learned, empty if it exports nothing.
func (e *Engine) ExportModuleState() []byte {
	m, ok := e.module.(stateTransferrer)
	if !ok {
		return nil
	}
	text, err := m.ExportLearned()
	if err != nil {
		e.env.Log.Warn("module: cannot export the learned state", logging.Cause, err)
	}
	return text
}

// ImportModuleState has the module adopt what another module learned: all of it where this
// module continues at the same instant, otherwise only what stays valid across a restart.
func (e *Engine) ImportModuleState(text []byte, full bool) {
	if m, ok := e.module.(stateTransferrer); ok {
		load := m.ImportAfterRestart
		if full {
			load = m.ImportLearned
		}
		if err := load(text); err != nil {
			e.env.Log.Warn("module: learned state not imported", logging.Cause, err)
		}
	}
}
