package store

import (
	"context"
	"database/sql/driver"
	"fmt"
	"io"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/mattn/go-sqlite3"
)

// database is a connection to one SQLite file with its prepared statements. Its owner serializes
// the calls.
type database struct {
	connection *sqlite3.SQLiteConn
	statements map[string]*sqlite3.SQLiteStmt // prepared statements by their text
	arguments  []driver.NamedValue            // buffer that run reuses
	failure    error                          // *FailedError or ErrClosed: no further change is possible
	closed     bool
}

// databaseFile describes a file: its name, and its tables with their version.
type databaseFile struct {
	name    string
	schema  string
	version int64
}

// openDatabase opens a file in a directory, creates both if they do not exist, and syncs the directory.
// maxPages bounds the number of database pages; 0 means no bound.
func openDatabase(directory string, file databaseFile, maxPages int) (database, error) {
	if err := makeDirectory(directory); err != nil {
		return database{}, err
	}
	connection, err := connect(filepath.Join(directory, file.name))
	if err != nil {
		return database{}, err
	}
	d := database{connection: connection, statements: map[string]*sqlite3.SQLiteStmt{}}
	if err := d.initialize(directory, file, maxPages); err != nil {
		return database{}, errors.Join(err, d.close())
	}
	return d, nil
}

func (d *database) initialize(directory string, file databaseFile, maxPages int) error {
	if err := d.configure(maxPages); err != nil {
		return err
	}
	if err := d.createTables(file.schema, file.version); err != nil {
		return err
	}
	return syncDirectory(directory)
}

// connect opens the database file. The path may contain any characters.
func connect(path string) (*sqlite3.SQLiteConn, error) {
	location := "file:" + escapePath(path) + "?_busy_timeout=0"
	opened, err := (&sqlite3.SQLiteDriver{}).Open(location)
	if err != nil {
		return nil, errors.Wrapf(classifyOpenError(err), "open %s", path)
	}
	return opened.(*sqlite3.SQLiteConn), nil
}

// configure applies the pragmas. maxPages bounds the number of database pages; 0 means no bound.
func (d *database) configure(maxPages int) error {
	for _, statement := range pragmas(maxPages) {
		if _, err := d.connection.Exec(statement, nil); err != nil {
			return wrap(classifyOpenError(err), statement)
		}
	}
	return nil
}

// createTables creates the tables of a new file and rejects a file with another schema version.
func (d *database) createTables(schema string, schemaVersion int64) error {
	var version int64
	err := d.query(sqlReadVersion, func(row []driver.Value) error {
		version = row[0].(int64)
		return nil
	})
	if err != nil {
		return wrap(classifyOpenError(err), "read the version")
	}
	if version != 0 && version != schemaVersion {
		return &VersionError{Found: version, Read: schemaVersion}
	}
	if version == schemaVersion {
		return nil // write nothing, so that the store opens on a full disk
	}
	setVersion := fmt.Sprintf("PRAGMA user_version = %d;", schemaVersion)
	_, err = d.connection.Exec("BEGIN IMMEDIATE;"+schema+setVersion+"COMMIT;", nil)
	return wrap(classifyOpenError(err), "create the tables")
}

// transact executes a change in one transaction.
func (d *database) transact(change func() error) error {
	if err := d.run(sqlBegin); err != nil {
		return wrap(err, "begin")
	}
	err := change()
	if err == nil {
		err = wrap(d.run(sqlCommit), "commit")
	}
	if err != nil {
		_ = d.run(sqlRollback) // SQLite may have rolled back already; nothing more is written in either case
	}
	return err
}

// commit executes a change in one durable transaction. If the disk is full, the change is undone: undo
// reverts what it did in memory, and the log's space is freed. Any other failure is permanent, because
// memory may then differ from the file.
func (d *database) commit(change func() error, undo func()) error {
	if d.failure != nil {
		return d.failure
	}
	err := d.transact(change)
	switch {
	case err == nil:
		return nil
	case isFull(err):
		undo()
		d.checkpoint()
		return &FullError{Cause: err}
	}
	d.failure = &FailedError{Cause: err}
	return d.failure
}

// run executes a statement, which is prepared on its first use.
func (d *database) run(text string, values ...driver.Value) error {
	statement, ok := d.statements[text]
	if !ok {
		prepared, err := d.connection.Prepare(text)
		if err != nil {
			return err
		}
		statement = prepared.(*sqlite3.SQLiteStmt)
		d.statements[text] = statement
	}
	d.arguments = d.arguments[:0]
	for i, value := range values {
		d.arguments = append(d.arguments, driver.NamedValue{Ordinal: i + 1, Value: value})
	}
	_, err := statement.ExecContext(context.Background(), d.arguments)
	clear(d.arguments) // do not keep a state reachable
	return err
}

// query passes each row of a query's result to handleRow. The values are valid only during the
// call.
func (d *database) query(statement string, handleRow func([]driver.Value) error) error {
	rows, err := d.connection.Query(statement, nil)
	if err != nil {
		return err
	}
	row := make([]driver.Value, len(rows.Columns()))
	for {
		err := rows.Next(row)
		if err == io.EOF {
			return rows.Close()
		}
		if err != nil {
			return errors.Join(err, rows.Close())
		}
		if err := handleRow(row); err != nil {
			return errors.Join(err, rows.Close())
		}
	}
}

// checkpoint moves the write-ahead log into the database, so that the log's space can be reused.
func (d *database) checkpoint() {
	_, _ = d.connection.Exec(sqlCheckpoint, nil) // best effort
}

// close closes the statements and the connection, once. Every later change fails with ErrClosed.
func (d *database) close() error {
	if d.closed {
		return nil
	}
	d.closed, d.failure = true, ErrClosed
	var failures []error
	for _, statement := range d.statements {
		failures = append(failures, statement.Close())
	}
	failures = append(failures, d.connection.Close())
	return wrap(errors.Join(failures...), "close the store")
}

// isFull reports whether a write found no room: SQLITE_FULL, or a write that a quota or the largest size
// of a file refused. In this case the outcome is certain: SQLite has rolled back what it could not write.
// A sync that fails for lack of space is not included.
func isFull(err error) bool {
	var failure sqlite3.Error
	if !errors.As(err, &failure) {
		return false
	}
	refused := failure.SystemErrno == syscall.EFBIG || failure.SystemErrno == syscall.EDQUOT
	return failure.Code == sqlite3.ErrFull || failure.ExtendedCode == sqlite3.ErrIoErrWrite && refused
}

// classifyOpenError adds ErrInUse or ErrFull to an error of opening the store.
func classifyOpenError(err error) error {
	var failure sqlite3.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure) && (failure.Code == sqlite3.ErrBusy || failure.Code == sqlite3.ErrLocked):
		return errors.Join(ErrInUse, err)
	case isFull(err):
		return errors.Join(ErrFull, err)
	}
	return err
}
