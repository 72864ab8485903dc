package process

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/tier/settings"
)

var errFailed = errors.New("failed")

// Guards against a process that ends because its role failed, and one that starts it again without a pause.
func TestFailedRoleIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		starts := 0
		err := runAgain(ctx, &settings.Settings{}, func(context.Context, *settings.Settings) error {
			starts++
			return errFailed
		})
		assert.NilError(t, err)
		assert.Assert(t, starts > 50 && starts < 100, "%d starts in a minute", starts)
	})
}

// Guards against long pauses after one failure of a role that has run for long.
func TestPauseIsShortAfterARoleThatRanForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var starts []time.Duration
		began := time.Now()
		err := runAgain(ctx, &settings.Settings{}, func(ctx context.Context, _ *settings.Settings) error {
			starts = append(starts, time.Since(began))
			if len(starts) == 8 {
				time.Sleep(steadyAfter)
			}
			if len(starts) == 9 {
				cancel()
			}
			return errFailed
		})
		assert.NilError(t, err)
		assert.Equal(t, starts[7]-starts[6], maxRestartPause)
		assert.Equal(t, starts[8]-starts[7], steadyAfter+minRestartPause)
	})
}

// Guards against a role that is tried for ever with settings which it can't use.
func TestUnusableSettingsEndTheRole(t *testing.T) {
	unusable := &settings.FieldError{File: "f", Key: "k", Reason: "r"}
	err := runAgain(t.Context(), &settings.Settings{}, func(context.Context, *settings.Settings) error { return errors.Wrap(unusable, "start") })
	assert.ErrorIs(t, err, unusable)
}
