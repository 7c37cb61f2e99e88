package manager

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"bronzestair/core/table"
	"bronzestair/core/verdict"
	"bronzestair/io/owner"

	"github.com/cespare/xxhash/v2"
)

// Timing of the failover to peers. It covers outages in which the store refuses some
// entries while it serves the others.
const (
	// directOutageThreshold is the time without a useful answer to this entry after
	// which calls go through peers.
	directOutageThreshold = 400 * time.Millisecond
	// slowStoreLatency is far above the usual 4 to 15 ms of a call.
	slowStoreLatency = 200 * time.Millisecond
	// probeInterval is the period of direct calls that test the store meanwhile.
	probeInterval = 500 * time.Millisecond
	// maxRelayAttempts bounds the peers that are tried for one call. Only a peer that
	// refuses the call at once lets another one be tried.
	maxRelayAttempts = 4
	// relaySpread is the number of peers over which the calls of one entry are spread. The
	// owner of a pool in a load peak has more calls than a small entry can relay.
	relaySpread = 8
)

// failoverStore calls the store directly, or through peers while the direct path is
// down.
type failoverStore struct {
	direct Store
	// relay returns the store as reached through a peer.
	relay         func(address string) owner.Store
	peerAddresses func() []string
	logger        *slog.Logger

	mu sync.Mutex
	// workingPeers holds the peers through which the store has answered since the direct
	// path is down. failedAt is when a call through each peer last failed.
	workingPeers map[string]bool
	failedAt     map[string]time.Time
	// lastRelayResponse is when the store last answered a relayed call.
	lastRelayResponse time.Time
	directFailures    int
	// pending holds the direct calls that await an answer: when each was sent, and when
	// its answer is overdue.
	pending map[*pendingCall]struct{}
	// latency is the duration of the last direct call that was answered, other than feeds.
	latency   time.Duration
	createdAt time.Time
}

// pendingCall is a call to the store that awaits its answer.
type pendingCall struct {
	sent, overdue time.Time
}

func newFailoverStore(direct Store, peers *owner.Peers, peerAddresses func() []string, logger *slog.Logger) *failoverStore {
	return &failoverStore{
		direct: direct, relay: func(address string) owner.Store { return peers.Relay(address) },
		peerAddresses: peerAddresses, logger: logger,
		workingPeers: map[string]bool{}, failedAt: map[string]time.Time{}, pending: map[*pendingCall]struct{}{}, createdAt: time.Now(),
	}
}

// LastResponse returns when the store last answered, directly or through a peer.
func (r *failoverStore) LastResponse() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if direct := r.direct.LastResponse(); direct.After(r.lastRelayResponse) {
		return direct
	}
	return r.lastRelayResponse
}

// directDown reports whether the direct path is down: at least two calls in a row have
// failed, and there was no useful answer for directOutageThreshold; or a call is overdue
// and no other call has had a useful answer since it was sent. A store that is only slow
// answers other calls meanwhile.
func (r *failoverStore) directDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, answered := time.Now(), r.direct.LastResponse()
	for call := range r.pending {
		if now.After(call.overdue) && answered.Before(call.sent) {
			return true
		}
	}
	last := r.direct.LastResponse()
	if last.Before(r.createdAt) {
		last = r.createdAt
	}
	return r.directFailures > 1 && time.Since(last) > directOutageThreshold
}

// Unavailable reports whether the store answers neither directly nor through peers.
func (r *failoverStore) Unavailable() bool {
	return r.directDown() && time.Since(r.LastResponse()) > directOutageThreshold
}

// recordDirect counts the consecutive failures of direct calls.
func (r *failoverStore) recordDirect(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failed *table.Failure
	if errors.As(err, &failed) && !failed.HistoryLost {
		r.directFailures++
		return
	}
	r.directFailures = 0
	clear(r.workingPeers)
}

// candidates returns the peers to try for a call. Calls with the same key, which names what
// they read or write, begin with the same peer. Peers that failed within the last two probe
// intervals are left out.
func (r *failoverStore) candidates(key string) []string {
	addresses := r.peerAddresses()
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := slices.DeleteFunc(addresses, func(address string) bool {
		return time.Since(r.failedAt[address]) <= 2*probeInterval
	})
	usable = usable[:min(len(usable), relaySpread)]
	if len(usable) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(key) % uint64(len(usable)))
	out := append(slices.Clone(usable[first:]), usable[:first]...)
	return out[:min(len(out), maxRelayAttempts)]
}

// recordRelayed records the result of a call through a peer.
func (r *failoverStore) recordRelayed(address string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failed *table.Failure
	if errors.As(err, &failed) && !failed.HistoryLost {
		r.failedAt[address] = time.Now()
		delete(r.workingPeers, address)
		return
	}
	if !r.workingPeers[address] {
		r.logger.Warn("store is reached through a peer", "peer", address, "directAge", time.Since(r.direct.LastResponse()))
	}
	r.workingPeers[address] = true
	r.lastRelayResponse = time.Now()
}

// beginDirect records that a direct call is sent, which the store may hold back for wait.
func (r *failoverStore) beginDirect(wait time.Duration) *pendingCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	call := &pendingCall{sent: now, overdue: now.Add(wait + directOutageThreshold)}
	r.pending[call] = struct{}{}
	return call
}

// endDirect records that a direct call has ended, which the store could hold back for wait.
func (r *failoverStore) endDirect(call *pendingCall, wait time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, call)
	if wait == 0 && err == nil {
		r.latency = time.Since(call.sent)
	}
}

// slow reports whether the store answers slowly. Each entry reads claims several times a second,
// so that the last call is recent.
func (r *failoverStore) slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency > slowStoreLatency
}

// callStore makes a call, which the store may hold back for wait, directly, or through
// peers while the direct path is down. A call that may have taken effect is not repeated
// here: that is up to its caller. See candidates for the key.
func callStore[T any](r *failoverStore, key string, wait time.Duration, call func(owner.Store) (T, error)) (T, error) {
	var value T
	var err error
	if !r.directDown() {
		pending := r.beginDirect(wait)
		value, err = call(r.direct)
		r.endDirect(pending, wait, err)
		r.recordDirect(err)
		if !notRun(err) || !r.directDown() {
			return value, err
		}
	}
	for _, address := range r.candidates(key) {
		value, err = call(r.relay(address))
		r.recordRelayed(address, err)
		if !notRun(err) {
			return value, err
		}
	}
	if err == nil {
		err = &table.Failure{Verdict: verdict.NotRun, Reason: "the store cannot be reached"}
	}
	return value, err
}

// notRun reports whether a call is known to have had no effect and may be repeated.
func notRun(err error) bool {
	var failed *table.Failure
	return errors.As(err, &failed) && failed.Verdict == verdict.NotRun && !failed.HistoryLost
}

// Commit implements Store.
func (r *failoverStore) Commit(ctx context.Context, tx *table.Tx) (table.Version, error) {
	return callStore(r, tx.Part, 0, func(s owner.Store) (table.Version, error) { return s.Commit(ctx, tx) })
}

// Rows implements Store.
func (r *failoverStore) Rows(ctx context.Context, name, part, from, to string) (*table.Page, error) {
	return callStore(r, name+"/"+part, 0, func(s owner.Store) (*table.Page, error) { return s.Rows(ctx, name, part, from, to) })
}

// Parts implements Store.
func (r *failoverStore) Parts(ctx context.Context, name string) ([]string, error) {
	return callStore(r, name, 0, func(s owner.Store) ([]string, error) { return s.Parts(ctx, name) })
}

// Feed implements Store.
func (r *failoverStore) Feed(ctx context.Context, name string, after table.Version, wait time.Duration) (*table.Page, error) {
	return callStore(r, name, wait, func(s owner.Store) (*table.Page, error) { return s.Feed(ctx, name, after, wait) })
}

// probeDirect tests the direct path while it is down.
func (r *failoverStore) probeDirect(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		if !r.directDown() {
			continue
		}
		_, err := r.direct.Rows(ctx, claimTable, string(fleetShard), "", "")
		if err == nil {
			r.logger.Info("store answers direct calls again")
		}
		r.recordDirect(err)
	}
}

// unreachableStore refuses the relayed calls of peers while this entry itself does not
// reach the store, so that they try another peer at once.
type unreachableStore struct{}

var errUnreachableStore = &table.Failure{Verdict: verdict.NotRun, Reason: "this entry does not reach the store"}

// Commit implements owner.Store.
func (unreachableStore) Commit(context.Context, *table.Tx) (table.Version, error) {
	return 0, errUnreachableStore
}

// Rows implements owner.Store.
func (unreachableStore) Rows(context.Context, string, string, string, string) (*table.Page, error) {
	return nil, errUnreachableStore
}

// Parts implements owner.Store.
func (unreachableStore) Parts(context.Context, string) ([]string, error) {
	return nil, errUnreachableStore
}

// Feed implements owner.Store.
func (unreachableStore) Feed(context.Context, string, table.Version, time.Duration) (*table.Page, error) {
	return nil, errUnreachableStore
}
