package entry

import (
	"time"

	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/slot"
)

// RequestID identifies a request at one entry. The low 32 bits are an index that
// is reused once the request has ended, the high 32 bits are its generation.
type RequestID uint64

// NewRequestID returns the id with the given index and generation.
func NewRequestID(index, generation uint32) RequestID {
	return RequestID(generation)<<32 | RequestID(index)
}

// Index returns the reusable index in the low half.
func (id RequestID) Index() uint32 { return uint32(id) }

// Event is an input of the reducer: something that happened outside it.
type Event interface {
	// Stamp sets the time at which the event is reduced and a random number for
	// the decisions that it leads to.
	Stamp(at time.Time, random uint64)
}

// Meta holds the fields that all events share.
type Meta struct {
	At     time.Time
	Random uint64
}

// Stamp implements Event.
func (m *Meta) Stamp(at time.Time, random uint64) {
	m.At = at
	m.Random = random
}

// ConfigurationReceived carries a configuration. It is ignored unless it is newer
// than the one in force.
type ConfigurationReceived struct {
	Meta
	Fleet *fleet.Fleet
}

// LeavingRunnersReceived carries the platform's list of the runners that are to
// get no new requests.
type LeavingRunnersReceived struct {
	Meta
	Leaving []runner.ID
}

// RequestArrived reports a new request from a caller.
type RequestArrived struct {
	Meta
	Request    RequestID
	Service    service.ID
	Urgency    service.Urgency
	Idempotent bool
	Deadline   time.Time
}

// ResponseStarted reports the head of a response that is too large to buffer and
// has to be streamed to the caller.
type ResponseStarted struct {
	Meta
	Request RequestID
	Attempt int
}

// Result is the outcome of an attempt.
type Result uint8

const (
	// NotSent means that no byte of the request was sent.
	NotSent Result = iota
	// Incomplete means that a byte may have been sent and the response is incomplete.
	Incomplete
	// TimedOut means that a byte may have been sent and the deadline passed.
	TimedOut
	// Succeeded means a complete response whose status is no failure of the runner.
	Succeeded
	// Failed means a complete response with a status that counts as a failure of
	// the runner (500, 502 to 504).
	Failed
	// NotStarted means that the attempt was never begun, through no fault of the runner.
	NotStarted
)

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	Meta
	Request RequestID
	Attempt int
	Result  Result
	// BodyConsumed is set if part of the request body has been read and dropped, so
	// that the request cannot be retried.
	BodyConsumed bool
}

// CallerDisconnected reports that the caller has closed its connection.
type CallerDisconnected struct {
	Meta
	Request RequestID
}

// DeadlinePassed reports that a request has reached its deadline.
type DeadlinePassed struct {
	Meta
	Request RequestID
}

// ResponseDelivered reports whether the complete response was written to the caller.
type ResponseDelivered struct {
	Meta
	Request  RequestID
	Complete bool
}

// ProbeEnded reports whether a runner passed a health probe.
type ProbeEnded struct {
	Meta
	Runner runner.ID
	OK     bool
}

// Ticked is sent at regular intervals for work that depends on time alone.
type Ticked struct {
	Meta
}

// Stopping tells the entry to accept no more requests.
type Stopping struct {
	Meta
}

// BorrowRequested reports that a peer asks to borrow slots of a service. Ask is
// the id of its borrow request.
type BorrowRequested struct {
	Meta
	Peer    fleet.EntryID
	Service service.ID
	Count   int
	Ask     slot.BorrowRequestID
}

// BorrowCompleted reports the loans, possibly none, that a borrow request of this
// entry obtained. Failed means that no reply arrived; the peer may have lent
// slots nevertheless.
type BorrowCompleted struct {
	Meta
	Peer    fleet.EntryID
	Service service.ID
	Ask     slot.BorrowRequestID
	AskedAt time.Time
	Loans   []slot.Loan
	Failed  bool
}

// SlotsReturned reports that a peer returns loans. VoidAsk, unless it is 0, is the
// id of a borrow request that the peer voids: all its loans end, and it is refused
// if it arrives later.
type SlotsReturned struct {
	Meta
	Peer    fleet.EntryID
	Loans   []slot.Loan
	VoidAsk slot.BorrowRequestID
}

// LoansQueried reports that a peer asks after its start which of its slots this
// entry holds on loan. Ask identifies the query, which borrows nothing, and is
// repeated in the reply.
type LoansQueried struct {
	Meta
	Peer fleet.EntryID
	Ask  slot.BorrowRequestID
}

// LoansReported carries the slots of this entry that a peer holds on loan.
type LoansReported struct {
	Meta
	Peer  fleet.EntryID
	Loans []slot.Loan
}
