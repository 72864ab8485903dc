package store

import (
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Backoff between attempts to open a store on a full disk.
const (
	minOpenBackoff = 50 * time.Millisecond
	maxOpenBackoff = 2 * time.Second
)

// AwaitSpace opens a store. If there is none yet and the disk is full, it retries with a backoff.
func AwaitSpace[S any](open func() (S, error)) (S, error) {
	for backoff := minOpenBackoff; ; backoff = min(2*backoff, maxOpenBackoff) {
		opened, err := open()
		if !errors.Is(err, ErrFull) {
			return opened, err
		}
		klog.ErrorS(err, "The disk is full; the node starts once there is space", "pause", backoff)
		time.Sleep(backoff)
	}
}
