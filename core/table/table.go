// Package table defines the data model of the platform's table service: versioned
// rows, conditional transactions, and feeds of changes.
//
// # Usage
//
//	tx := table.Tx{Part: "seats"}
//	tx.Expect(table.Key{Table: "jobs", Part: "seats", Name: id}, 0)
//	tx.Put(table.Key{Table: "jobs", Part: "seats", Name: id}, value)
//	version, err := store.Commit(ctx, &tx)
//	var conflict *table.Conflict
//	if errors.As(err, &conflict) {
//		// another writer was first
//	}
package table

import (
	"encoding/base64"
	"fmt"

	"bronzestair/core/verdict"
)

// Version is the sequence number of a transaction. The version of a row is that of the
// transaction that last wrote it, or 0 if the row does not exist.
type Version uint64

// Key identifies a row. Part is the partition of the table that holds it.
type Key struct {
	Table, Part, Name string
}

// Row is a stored row with its version.
type Row struct {
	Key
	Value   []byte
	Version Version
	// Removed is true for a row in a feed that has been removed.
	Removed bool
}

// Expectation is a condition on the version of a row.
type Expectation struct {
	Key
	Version Version
}

// Tx is an atomic transaction on rows of one partition. It takes effect only if all
// expectations hold.
type Tx struct {
	Part    string
	Expects []Expectation
	Puts    []Row
	Removes []Key
}

// Limits of a transaction. The service refuses one beyond them as a whole.
const (
	// MaxTxEntries is the maximum number of entries.
	MaxTxEntries = 100
	// MaxTxBytes is the maximum size of the encoding.
	MaxTxBytes = 1_000_000
	// DefaultMaxValueBytes is the maximum size of a value, unless the service names another.
	DefaultMaxValueBytes = 64 << 10
	// entryBytes bounds the encoding of an entry without its names and its value.
	entryBytes = 128
)

// Entries returns the number of conditions, writes and removals in the transaction.
func (t *Tx) Entries() int { return len(t.Expects) + len(t.Puts) + len(t.Removes) }

// Size returns an upper bound of the size of the encoding, in which values are base64.
func (t *Tx) Size() int {
	size := entryBytes
	add := func(key Key, value []byte) {
		size += entryBytes + len(key.Table) + len(key.Part) + len(key.Name) + base64.StdEncoding.EncodedLen(len(value))
	}
	for i := range t.Expects {
		add(t.Expects[i].Key, nil)
	}
	for i := range t.Puts {
		add(t.Puts[i].Key, t.Puts[i].Value)
	}
	for i := range t.Removes {
		add(t.Removes[i], nil)
	}
	return size
}

// Expect adds the condition that the row has the given version.
func (t *Tx) Expect(key Key, version Version) {
	t.Expects = append(t.Expects, Expectation{Key: key, Version: version})
}

// Put adds a write of the row.
func (t *Tx) Put(key Key, value []byte) { t.Puts = append(t.Puts, Row{Key: key, Value: value}) }

// Remove adds a removal of the row.
func (t *Tx) Remove(key Key) { t.Removes = append(t.Removes, key) }

// Page is a part of a range of rows, read at one point in time.
type Page struct {
	Rows []Row
	// More is true if the range has further rows.
	More bool
	// Version is the latest version of the service.
	Version Version
}

// Conflict is the error of a transaction of which a condition did not hold.
type Conflict struct {
	// Rows are the current rows of the keys in the conditions.
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("a condition on %d rows does not hold", len(c.Rows))
}

// Row returns the current row of a key, and false if the row does not exist.
func (c *Conflict) Row(key Key) (Row, bool) {
	for _, row := range c.Rows {
		if row.Key == key && row.Version > 0 {
			return row, true
		}
	}
	return Row{}, false
}

// Failure is the error of a call without a result.
type Failure struct {
	// Verdict is NotRun if the call certainly had no effect.
	Verdict verdict.Verdict
	// HistoryLost is true if a feed cannot continue from the requested version.
	HistoryLost bool
	Reason      string
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason + " (" + f.Verdict.String() + ")" }
