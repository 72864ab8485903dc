package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"pipitmux/internal/emulator"
)

// Record is a cell that has been played.
type Record struct {
	Cell
	Result *emulator.Result `json:"result"`
	TookNS int64            `json:"took_ns"` // the machine's, and no part of the result
}

// Store keeps the records of one experiment in a folder. A record is there whole
// once Put has returned, also where the process or the machine dies then.
type Store struct{ db *bbolt.DB }

var (
	meta  = []byte("meta")
	cells = []byte("cells")
	mark  = []byte("fingerprint")
)

// ErrOtherPlan tells that a folder holds the results of another plan or scenario.
var ErrOtherPlan = errors.New("holds the results of another plan or scenario")

// Open opens the store of a folder, making it where there is none. Where it
// holds results of another fingerprint it returns ErrOther; an empty one takes
// any store as it is.
func Open(dir, print string) (*Store, error) {
	if print != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(dir, "results.db")
	if _, err := os.Stat(path); err != nil && print == "" {
		return nil, err
	}
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(meta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(cells); err != nil {
			return err
		}
		switch had := m.Get(mark); {
		case print == "" || string(had) == print:
			return nil
		case had != nil:
			return fmt.Errorf("%s: %w", dir, ErrOtherPlan)
		}
		return m.Put(mark, []byte(print))
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return &Store{db}, nil
}

// Close gives the folder free.
func (s *Store) Close() error { return s.db.Close() }

// Has tells whether a cell has been played.
func (s *Store) Has(key string) (has bool) {
	s.db.View(func(tx *bbolt.Tx) error {
		has = tx.Bucket(cells).Get([]byte(key)) != nil
		return nil
	})
	return has
}

// Put keeps a record. It may be called from several goroutines, whose records
// then share a write.
func (s *Store) Put(r *Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(cells).Put([]byte(r.Key()), text) })
}

// Each calls do with every record, in the order of their keys.
func (s *Store) Each(do func(*Record) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(cells).ForEach(func(k, v []byte) error {
			var r Record
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("cell %s: %w", k, err)
			}
			return do(&r)
		})
	})
}
