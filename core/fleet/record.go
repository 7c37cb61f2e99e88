package fleet

import "time"

// OperationID is the idempotency key of a change of the configuration. With it the
// operator can find out after a lost response whether the change was accepted.
type OperationID string

// Change describes an accepted change of the configuration.
type Change struct {
	Version   Version     `json:"version"`
	Operation OperationID `json:"operation"`
	Operator  string      `json:"operator"`
	Note      string      `json:"note,omitempty"`
	At        time.Time   `json:"at"`
}

// maxChanges is the number of changes kept in a record.
const maxChanges = 100

// Record is the stored form of the configuration: the one in force and the latest
// changes, newest last.
type Record struct {
	Fleet   Fleet    `json:"fleet"`
	Changes []Change `json:"changes,omitempty"`
}

// AcceptedChange returns the change made by an operation, if the record still has it.
func (r *Record) AcceptedChange(id OperationID) (Change, bool) {
	for _, c := range r.Changes {
		if c.Operation == id {
			return c, true
		}
	}
	return Change{}, false
}

// LatestChange returns the newest change, or a Change with only the Version set if
// none is recorded.
func (r *Record) LatestChange() Change {
	if len(r.Changes) == 0 {
		return Change{Version: r.Fleet.Version}
	}
	return r.Changes[len(r.Changes)-1]
}

// WithChange returns the record with configuration f in force and change c
// appended. f gets the version of c, and only the latest maxChanges (100) changes
// are kept. The receiver is not modified.
func (r *Record) WithChange(f Fleet, c Change) Record {
	changes := append(append([]Change(nil), r.Changes...), c)
	if len(changes) > maxChanges {
		changes = changes[len(changes)-maxChanges:]
	}
	f.Version = c.Version
	return Record{Fleet: f, Changes: changes}
}
