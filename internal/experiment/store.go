package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"oakseam/internal/emulator"
)

// Record is a finished cell with its result.
type Record struct {
	Cell
	Result *emulator.Result `json:"result"`
	TookNS int64            `json:"took_ns"` // time taken on this machine, not part of the result
}

// Store keeps the records of one experiment in a folder. After Put has returned, the record is stored
// completely, even if the process or the machine then fails.
type Store struct{ db *bbolt.DB }

// The buckets of results.db, and the key of the fingerprint in the meta bucket.
var (
	metaBucket     = []byte("meta")
	cellsBucket    = []byte("cells")
	fingerprintKey = []byte("fingerprint")
)

// ErrOtherPlan means that a folder holds the results of another plan or scenario.
var ErrOtherPlan = errors.New("holds the results of another plan or scenario")

// Open opens the store in a folder and creates it if there is none. If the store has another
// fingerprint, Open returns ErrOtherPlan. With an empty fingerprint, Open opens an existing store
// whatever its fingerprint, and creates none.
func Open(dir, fingerprint string) (*Store, error) {
	if fingerprint != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(dir, "results.db")
	if _, err := os.Stat(path); err != nil && fingerprint == "" {
		return nil, err
	}
	db, err := openDatabase(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(cellsBucket); err != nil {
			return err
		}
		switch stored := m.Get(fingerprintKey); {
		case fingerprint == "" || string(stored) == fingerprint:
			return nil
		case stored != nil:
			return fmt.Errorf("%s: %w", dir, ErrOtherPlan)
		}
		return m.Put(fingerprintKey, []byte(fingerprint))
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return &Store{db}, nil
}

// Close closes the store, so that another process can open it.
func (s *Store) Close() error { return s.db.Close() }

// Has reports whether the store holds the result of a cell.
func (s *Store) Has(key string) (found bool) {
	s.db.View(func(tx *bbolt.Tx) error {
		found = tx.Bucket(cellsBucket).Get([]byte(key)) != nil
		return nil
	})
	return found
}

// Put stores a record. It may be called from several goroutines; records that are stored at the same
// time share a write.
func (s *Store) Put(r *Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(cellsBucket).Put([]byte(r.Key()), text) })
}

// Each calls visit with every record, in the order of their keys.
func (s *Store) Each(visit func(*Record) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(cellsBucket).ForEach(func(k, v []byte) error {
			var r Record
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("cell %s: %w", k, err)
			}
			return visit(&r)
		})
	})
}
