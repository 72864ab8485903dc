package core

import (
	"time"

	"oakseam/internal/logging"
	"oakseam/logic"
)

// avoidanceReporter is a module that reports how many backends it avoids.
type avoidanceReporter interface{ CountAvoided(time.Duration) int }

// BackendCounts returns how many backends are listed, and how many of these the module
// avoids now, if it reports that.
func (e *Engine) BackendCounts() (listed, avoided int) {
	if m, ok := e.module.(avoidanceReporter); ok {
		avoided = m.CountAvoided(e.moduleTime(e.env.Now()))
	}
	return len(e.backends), avoided
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
