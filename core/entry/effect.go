package entry

import (
	"fmt"
	"time"

	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/slot"
	"bronzestair/core/verdict"
)

// EffectKind is the kind of an effect.
type EffectKind uint8

const (
	// Dispatch sends attempt number Attempt of Request to Runner. The attempt must
	// start before NotAfter, if that is set.
	Dispatch EffectKind = iota
	// Refuse tells the caller of Request that it gets no response, with Verdict and Reason.
	Refuse
	// Deliver writes the response of Request to the caller.
	Deliver
	// Discard drops the response of Request.
	Discard
	// Record writes the book line of Request, with Verdict. Each request has one.
	Record
	// Probe sends a health probe to Runner.
	Probe
	// Stopped reports that the last request has ended after Stopping.
	Stopped
	// BorrowSlots asks Peer to lend Count slots of Service.
	BorrowSlots
	// LendSlots replies to the borrow request Ask of Peer with Loans.
	LendSlots
	// ReturnSlots returns Loans to Peer. If Ask is set, it also voids that borrow
	// request: all loans for it end, and Peer refuses it if it arrives later.
	ReturnSlots
	// QueryLoans asks Peer which slots of this entry it holds on loan.
	QueryLoans
	// ReportLoans replies to the query Ask of Peer with the Loans that this entry
	// holds from it.
	ReportLoans
	// EffectKindCount is the number of effect kinds.
	EffectKindCount
)

var effectNames = [EffectKindCount]string{
	Dispatch: "dispatch", Refuse: "refuse", Deliver: "deliver", Discard: "discard",
	Record: "record", Probe: "probe", Stopped: "stopped",
	BorrowSlots: "askSlots", LendSlots: "lendSlots", ReturnSlots: "returnSlots",
	QueryLoans: "askHeld", ReportLoans: "tellHeld",
}

// String returns the name in camel case, such as "returnSlots".
func (k EffectKind) String() string {
	if k < EffectKindCount {
		return effectNames[k]
	}
	return fmt.Sprintf("effect(%d)", uint8(k))
}

// Effect is an output of the reducer, to be carried out by its caller. Which
// fields are set depends on its kind.
type Effect struct {
	Kind     EffectKind
	Verdict  verdict.Verdict
	Reason   Reason
	Attempt  int
	Request  RequestID
	Runner   runner.ID
	NotAfter time.Time
	// The remaining fields belong to effects that concern a peer. Ask is the id of
	// a borrow request, in ReportLoans that of the query.
	Peer    fleet.EntryID
	Service service.ID
	Count   int
	Ask     slot.BorrowRequestID
	Loans   []slot.Loan
}

// Reason is why a request got no response.
type Reason uint8

const (
	// NoReason is the zero value, for requests that got a response.
	NoReason Reason = iota
	// UnknownService means that the configuration has no such service.
	UnknownService
	// DeadlineReached means that the deadline passed.
	DeadlineReached
	// DeadlineUnmeetable means that the estimated time in the queue and at a runner
	// exceeds the deadline.
	DeadlineUnmeetable
	// QueueFull means that the queue was full of requests at least as urgent.
	QueueFull
	// Displaced means that a more urgent request took its place in a full queue.
	Displaced
	// EntryStopping means that the entry is stopping and accepts no more requests.
	EntryStopping
	// RunnerUnreachable means that no attempt reached a runner.
	RunnerUnreachable
	// AnswerBroken means that a runner may have received the request and no complete
	// response reached the caller.
	AnswerBroken
	// CallerGone means that the caller closed its connection before the response.
	CallerGone
	reasonCount
)

var reasonNames = [reasonCount]string{
	NoReason: "none", UnknownService: "unknownService", DeadlineReached: "deadlineReached",
	DeadlineUnmeetable: "deadlineUnmeetable", QueueFull: "queueFull", Displaced: "displaced",
	EntryStopping: "entryStopping", RunnerUnreachable: "runnerUnreachable",
	AnswerBroken: "answerBroken", CallerGone: "callerGone",
}

// String returns the name in camel case, as used in problem documents.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}
