package manager

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/membership"
	"bronzestair/core/ownership"
	"bronzestair/core/table"
	"bronzestair/io/owner"
)

// refusingStore is a store that has never answered this entry.
type refusingStore struct {
	*memoryStore
}

func (refusingStore) LastResponse() time.Time { return time.Time{} }

// TestStoreIsReachedThroughPeer checks that an entry that the store refuses calls it
// through a peer that the store serves.
func TestStoreIsReachedThroughPeer(t *testing.T) {
	shared := newMemoryStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := New(Options{Name: "entry-2"}, shared, nil, nil, nil)
	go peer.peers.Serve(t.Context(), listener)

	refusing := newMemoryStore()
	refusing.fault = func(int) (error, bool) { return errRefused, false }
	logger := slog.New(slog.DiscardHandler)
	peers := owner.NewPeers(nil, logger)
	addresses := []string{listener.Addr().String()}
	for len(peers.StoreAges(t.Context(), addresses)) == 0 {
		// On a busy machine the first connection takes longer than its 500 ms timeout.
	}
	r := newFailoverStore(refusingStore{refusing}, peers, func() []string { return addresses }, logger)
	r.createdAt = time.Now().Add(-time.Minute)

	tx := table.Tx{Part: "p"}
	key := table.Key{Table: "t", Part: "p", Name: "k"}
	tx.Expect(key, 0)
	tx.Put(key, []byte("value"))
	if _, err := r.Commit(t.Context(), &tx); err == nil {
		t.Fatal("call was relayed after one refusal, which is no outage")
	}
	version, err := r.Commit(t.Context(), &tx)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "version", version, table.Version(1))
	page, err := r.Rows(t.Context(), "t", "p", "", "")
	if err != nil {
		t.Fatal(err)
	}
	want(t, "rows", page.Rows, []table.Row{{Key: key, Value: []byte("value"), Version: 1}})
	_, err = r.Commit(t.Context(), &tx)
	want(t, "conflict", err, error(&table.Conflict{Rows: page.Rows}))
}

// hangingStore does not answer this entry any more.
type hangingStore struct{ *memoryStore }

func (hangingStore) LastResponse() time.Time { return time.Time{} }

func (hangingStore) Commit(ctx context.Context, _ *table.Tx) (table.Version, error) {
	<-ctx.Done()
	return 0, errAnswerLost
}

// TestOverdueCallMakesOthersGoThroughPeer guards against calls that are sent into an outage
// one after the other because none has failed yet: a call without an answer fails after
// 1.4 s only.
func TestOverdueCallMakesOthersGoThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		shared := newMemoryStore()
		r := newFailoverStore(hangingStore{newMemoryStore()}, nil, func() []string { return []string{"peer"} }, slog.New(slog.DiscardHandler))
		r.relay = func(string) owner.Store { return shared }
		tx := table.Tx{}
		tx.Put(table.Key{Table: "t", Name: "k"}, []byte("value"))
		go r.Commit(ctx, &tx)
		synctest.Wait()
		want(t, "down at once", r.directDown(), false)
		time.Sleep(directOutageThreshold + time.Millisecond)
		version, err := r.Commit(ctx, &tx)
		if err != nil {
			t.Fatal(err)
		}
		want(t, "version", version, table.Version(1))
	})
}

// TestPeerWithoutStoreRefusesRelayedCalls guards against relayed calls that wait at a peer
// that does not reach the store either.
func TestPeerWithoutStoreRefusesRelayedCalls(t *testing.T) {
	m := New(Options{Name: "entry-1"}, hangingStore{newMemoryStore()}, nil, nil, nil)
	m.store.createdAt = time.Now().Add(-time.Minute)
	m.store.directFailures = 2
	_, err := m.DirectStore().Commit(t.Context(), &table.Tx{})
	want(t, "refused", notRun(err), true)
}

// TestRelayPeersSpareOwners checks the order of the peers that relay calls: members
// without a claim first, the holders of claims last.
func TestRelayPeersSpareOwners(t *testing.T) {
	m := New(Options{Name: "entry-1", Address: "a1"}, newMemoryStore(), nil, nil, nil)
	now := time.Now()
	m.members.Observe(now, []membership.Member{{Name: "entry-2", Address: "a2"}, {Name: "entry-3", Address: "a3"}})
	m.tracker.Observe(now, []ownership.Row{{Shard: fleetShard, Claim: ownership.Claim{Holder: "entry-2", Address: "a2"}, Version: 1}})
	want(t, "peers", m.relayPeers(), []string{"a3", "a2"})
}

// TestRelayedCallsSpreadOverPeers guards against an owner in a load peak that relays all
// its transactions through one small peer. On scale-2 of the large Skywatch site, the owner
// of lodging was cut off from the store for 12 s, and jobs were accepted after 0.4 to 0.9 s.
func TestRelayedCallsSpreadOverPeers(t *testing.T) {
	const parts = 8
	shared := newMemoryStore()
	used := map[string]int{}
	peers := []string{"a", "b", "refusing", "c", "d", "e", "f", "g", "h", "i"}
	r := newFailoverStore(hangingStore{newMemoryStore()}, nil, func() []string { return slices.Clone(peers) }, slog.New(slog.DiscardHandler))
	r.createdAt = time.Now().Add(-time.Minute)
	r.directFailures = 2
	r.relay = func(address string) owner.Store {
		if address == "refusing" {
			return unreachableStore{}
		}
		used[address]++
		return shared
	}
	for range 2 {
		for part := range parts {
			if _, err := r.Commit(t.Context(), &table.Tx{Part: fmt.Sprint("seats-", part)}); err != nil {
				t.Fatal(err)
			}
		}
	}
	const most = parts // half of the transactions
	for address, n := range used {
		if n > most {
			t.Errorf("%d of %d transactions went through peer %s", n, 2*parts, address)
		}
	}
	if len(used) < parts/2 {
		t.Errorf("transactions of %d parts went through %d peers", parts, len(used))
	}
}
