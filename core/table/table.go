// Package table names what the platform's table service holds: rows with
// versions, transactions under conditions, and feeds of changes.
//
// # Usage
//
//	tx := table.Tx{Part: "seats"}
//	tx.Expect(table.Key{Table: "jobs", Part: "seats", Name: id}, 0)
//	tx.Put(table.Key{Table: "jobs", Part: "seats", Name: id}, value)
//	version, err := store.Commit(ctx, &tx)
//	var conflict *table.Conflict
//	if errors.As(err, &conflict) {
//		// somebody else was first
//	}
package table

import (
	"fmt"

	"bronzestair/core/verdict"
)

// Version numbers transactions; the version of a row is that of its last
// write, and 0 if there is no row.
type Version uint64

// Key names a row.
type Key struct {
	Table, Part, Name string
}

// Row is a stored row.
type Row struct {
	Key
	Value   []byte
	Version Version
	// Removed marks a row of a feed that is gone.
	Removed bool
}

// Expectation is the version that a row must have.
type Expectation struct {
	Key
	Version Version
}

// Tx is a transaction: all of it takes effect or nothing. All rows are in Part.
type Tx struct {
	Part    string
	Expects []Expectation
	Puts    []Row
	Removes []Key
}

// MaxTxEntries is the most that a transaction may hold.
const MaxTxEntries = 100

// Entries returns the size of the transaction.
func (t *Tx) Entries() int { return len(t.Expects) + len(t.Puts) + len(t.Removes) }

// Expect adds a condition.
func (t *Tx) Expect(key Key, version Version) {
	t.Expects = append(t.Expects, Expectation{Key: key, Version: version})
}

// Put adds a write.
func (t *Tx) Put(key Key, value []byte) { t.Puts = append(t.Puts, Row{Key: key, Value: value}) }

// Remove adds a removal.
func (t *Tx) Remove(key Key) { t.Removes = append(t.Removes, key) }

// Page is a part of a range of rows as of one moment.
type Page struct {
	Rows []Row
	More bool
	// Version is the newest version in the service.
	Version Version
}

// Conflict says that a condition of a transaction did not hold.
type Conflict struct {
	// Rows are the current rows named in the conditions.
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("a condition on %d rows does not hold", len(c.Rows))
}

// Row returns the current version of a row.
func (c *Conflict) Row(key Key) (Row, bool) {
	for _, row := range c.Rows {
		if row.Key == key && row.Version > 0 {
			return row, true
		}
	}
	return Row{}, false
}

// Failure is a call that brought no result.
type Failure struct {
	// Verdict is NotRun if the call surely had no effect.
	Verdict verdict.Verdict
	// HistoryLost is true if a feed cannot continue where it was asked to.
	HistoryLost bool
	Reason      string
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason + " (" + f.Verdict.String() + ")" }
