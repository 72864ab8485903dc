package process

import (
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"k8s.io/klog/v2"

	"oakseam/internal/tier/settings"
)

// maxStackBytes bounds the stacks that are logged on SIGQUIT.
const maxStackBytes = 256 << 10

// informingSignals receives the signals that ask for something and don't end the process. The process
// takes them from its initialization on.
var informingSignals = make(chan os.Signal, 8)

func init() {
	// Without this, a write to a standard stream whose reader is gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(informingSignals, syscall.SIGHUP, syscall.SIGQUIT)
}

// handleInformingSignals checks the settings file on each SIGHUP and logs all stacks on SIGQUIT.
func handleInformingSignals() {
	for received := range informingSignals {
		if received == syscall.SIGQUIT {
			logStacks()
			continue
		}
		checkSettings(settings.Path())
	}
}

// checkSettings validates the settings file. It does not disturb running work. An invalid file changes
// nothing, and the log names the invalid key.
func checkSettings(path string) {
	if _, err := settings.Read(path); err != nil {
		klog.ErrorS(err, "Changed settings are invalid; the previous settings stay in effect")
		return
	}
	klog.InfoS("Changed settings are valid; they take effect at the next start")
}

// logStacks logs the stacks of all goroutines.
func logStacks() {
	stacks := make([]byte, maxStackBytes)
	klog.InfoS("Stacks of all goroutines", "stacks", string(stacks[:runtime.Stack(stacks, true)]))
}
