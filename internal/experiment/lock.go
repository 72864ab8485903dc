package experiment

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	// lockTimeout bounds how long Open waits for a store that a running process has opened.
	lockTimeout = time.Second
	// releaseTimeout bounds how long Open waits for the lock of a process that has ended. On a busy
	// machine the kernel may close the files of a killed process seconds after its end.
	releaseTimeout = time.Minute
)

// openDatabase opens a database for this process alone, and records the process as its owner.
func openDatabase(path string) (*bbolt.DB, error) {
	ownerFile := path + ".pid"
	for deadline := time.Now().Add(releaseTimeout); ; {
		db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout})
		if err == nil {
			if err = os.WriteFile(ownerFile, []byte(strconv.Itoa(os.Getpid())), 0o644); err != nil {
				return nil, errors.Join(err, db.Close())
			}
			return db, nil
		}
		if !errors.Is(err, bbolterrors.ErrTimeout) || ownerRuns(ownerFile) {
			return nil, err
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("the lock of an ended process is still held: %w", err)
		}
	}
}

// ownerRuns reports whether the process that opened a database last is running. It assumes so if the
// owner is not known.
func ownerRuns(ownerFile string) bool {
	text, err := os.ReadFile(ownerFile)
	if err != nil {
		return true
	}
	process, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return true
	}
	return !errors.Is(syscall.Kill(process, 0), syscall.ESRCH)
}
