package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"bronzestair/core/fleet"
)

// AnyVersion as the base of a change lets the change replace any version.
const AnyVersion fleet.Version = 0

// configurationPrefix is the name prefix of the objects that store the versions of the
// configuration.
const configurationPrefix = "configuration/"

// initialWriteRetryInterval and maxWriteRetryInterval limit the back-off between two
// attempts of a write.
const (
	initialWriteRetryInterval = 50 * time.Millisecond
	maxWriteRetryInterval     = 2 * time.Second
)

// ConflictError is returned if another change was accepted first.
type ConflictError struct {
	// Expected is the version on which the rejected change was based.
	Expected fleet.Version
	// Current is the change in force.
	Current fleet.Change
	// Refused is the change that was rejected.
	Refused fleet.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not accepted: operation %q of %s is based on version %d, but version %d by %s (operation %q, %q) came first",
		e.Refused.Operation, e.Refused.Operator, e.Expected, e.Current.Version, e.Current.Operator, e.Current.Operation, e.Current.Note)
}

// UnknownOutcomeError is returned if it could not be determined whether a change was
// accepted.
type UnknownOutcomeError struct {
	Operation fleet.OperationID
	cause     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operation %q may have been accepted; check the configuration's history: %v", e.Operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// Record reads the configuration and its latest changes. It returns an empty record
// if there is none yet.
func (c *Client) Record(ctx context.Context) (fleet.Record, error) {
	row, err := c.Row(ctx, ConfigurationTable, FleetKey)
	if errors.Is(err, ErrNotFound) {
		return fleet.Record{}, nil
	}
	if err != nil {
		return fleet.Record{}, err
	}
	return decodeRecord(row)
}

func decodeRecord(row Row) (fleet.Record, error) {
	var record fleet.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, merry.Prepend(err, "decoding the fleet's configuration")
	}
	record.Fleet.Version = fleet.Version(row.Version)
	record.Fleet.ResolveLimits()
	return record, nil
}

// Apply replaces the configuration if base is the version in force or AnyVersion.
// Repeating an accepted operation has no further effect. Apply returns the accepted
// change once that is durable, a *ConflictError if another change was accepted
// first, and an *UnknownOutcomeError if a response was lost and the platform could
// not be reached until ctx ended. After any other error the change was not accepted.
func (c *Client) Apply(ctx context.Context, f fleet.Fleet, change fleet.Change, base fleet.Version) (fleet.Change, error) {
	f.ResolveLimits()
	if err := f.Check(); err != nil {
		return change, merry.Prepend(err, "not accepted")
	}
	record, err := c.Record(ctx)
	if err != nil {
		return change, merry.Prepend(err, "not accepted: the platform cannot be read")
	}
	if earlier, ok := record.AcceptedChange(change.Operation); ok {
		return earlier, nil
	}
	current := record.Fleet.Version
	if base != AnyVersion && base != current {
		return change, &ConflictError{Expected: base, Current: record.LatestChange(), Refused: change}
	}
	change.Version = current + 1
	value, err := json.Marshal(record.WithChange(f, change))
	if err != nil {
		return change, err
	}
	if err := c.PutObject(ctx, configurationObject(change), value); err != nil {
		return change, merry.Prepend(err, "not accepted: the configuration could not be stored as an object")
	}
	return c.putFleet(ctx, change, current, value)
}

// putFleet writes the configuration's row and retries after errors. The write is
// conditional on the version that it replaces, so that it takes effect at most once.
func (c *Client) putFleet(ctx context.Context, change fleet.Change, current fleet.Version, value []byte) (fleet.Change, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialWriteRetryInterval
	policy.MaxInterval = maxWriteRetryInterval
	accepted, err := backoff.Retry(ctx, func() (fleet.Change, error) {
		_, err := c.PutRow(ctx, ConfigurationTable, FleetKey, RowVersion(current), value)
		if errors.Is(err, ErrConflict) {
			return c.resolveConflict(ctx, change, current)
		}
		return change, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	var conflict *ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return change, &UnknownOutcomeError{Operation: change.Operation, cause: err}
	}
	return accepted, err
}

// resolveConflict determines after a version conflict whether it was caused by an
// earlier attempt of the same operation, in which case the change was accepted.
func (c *Client) resolveConflict(ctx context.Context, change fleet.Change, current fleet.Version) (fleet.Change, error) {
	record, err := c.Record(ctx)
	if err != nil {
		return change, err
	}
	if done, ok := record.AcceptedChange(change.Operation); ok {
		return done, nil
	}
	return change, backoff.Permanent(&ConflictError{Expected: current, Current: record.LatestChange(), Refused: change})
}

// RecordAt reads the configuration of a version, which must be among the latest
// changes.
func (c *Client) RecordAt(ctx context.Context, version fleet.Version) (fleet.Record, error) {
	latest, err := c.Record(ctx)
	if err != nil || latest.Fleet.Version == version {
		return latest, err
	}
	for _, change := range latest.Changes {
		if change.Version != version {
			continue
		}
		value, err := c.Object(ctx, configurationObject(change))
		if err != nil {
			return fleet.Record{}, merry.Prependf(err, "version %d", version)
		}
		return decodeRecord(Row{Version: RowVersion(version), Value: value})
	}
	return fleet.Record{}, merry.Errorf("version %d is not among the latest %d changes", version, len(latest.Changes))
}

func configurationObject(c fleet.Change) string {
	return fmt.Sprintf("%s%012d-%s", configurationPrefix, c.Version, c.Operation)
}
