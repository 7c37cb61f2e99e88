// Package owner connects entries over gRPC: they call the owners of pools, release
// shards to each other, report the age of the store's last response, relay calls to the
// platform's table service, which this package calls the store, and send orders to runners
// as the delegates of an owner.
//
// A shard is a pool or the fleet. Its owner is the entry that holds the claim on it,
// which is a lease in the store.
//
// # Usage
//
//	peers := owner.NewPeers(handler, logger)
//	go peers.Serve(ctx, listener)
//	state, err := peers.State(ctx, address, "booking", caller, id)
//	if err != nil {
//		return err
//	}
//	fmt.Println(state)
package owner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/core/table"
	"bronzestair/io/owner/ownerpb"
)

// ErrNotOwner means that the called entry does not own the pool or the shard, although
// its text names only a pool. Handlers and the methods of Peers return it.
// Submit also returns it if the owner has not sent the write to the store, so that the
// job is not stored.
var ErrNotOwner = errors.New("this entry does not own the pool")

// Limits of calls and connections between entries.
const (
	// storeAgeTimeout limits the calls for the age of the store's last response.
	storeAgeTimeout = 250 * time.Millisecond
	// maxReconnectDelay limits the back-off between two attempts to connect. It is also
	// the minimum time that an attempt is given to connect.
	maxReconnectDelay = 500 * time.Millisecond
	// An unresponsive connection is closed after keepaliveInterval plus
	// keepaliveTimeout.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 1 * time.Second
	// maxConsecutiveFailures is the number of consecutive calls without a response
	// after which a connection is replaced, as it may be unresponsive.
	maxConsecutiveFailures = 2
	// retireDelay is longer than any call between entries takes.
	retireDelay = 5 * time.Second
	// bufferBytes is the size of each connection's read buffer and write buffer.
	bufferBytes = 4 << 10
)

// Store holds the calls to the platform's table service that peers can relay. A part is
// a partition of a table.
type Store interface {
	Commit(context.Context, *table.Tx) (table.Version, error)
	Rows(ctx context.Context, name, part, from, to string) (*table.Page, error)
	Parts(ctx context.Context, name string) ([]string, error)
	Feed(ctx context.Context, name string, after table.Version, wait time.Duration) (*table.Page, error)
}

// Handler handles the calls of peers. Methods that name a pool or a shard return
// ErrNotOwner if this entry does not own it.
type Handler interface {
	// StoreJob stores a new job. value is the JSON encoding of the job's record. It also
	// returns ErrNotOwner if the write was not sent to the store.
	StoreJob(ctx context.Context, name job.PoolName, value []byte) (SubmitReply, error)
	// JobState returns the state of a job to a caller of an organisation, or "" if the owner
	// does not know the job. It returns ErrForbidden if the job belongs to another organisation.
	JobState(ctx context.Context, name job.PoolName, caller job.Organisation, id job.ID) (job.State, error)
	// WaitingJobs returns the number of the queue's jobs of which no task has started.
	WaitingJobs(ctx context.Context, name job.PoolName, queue job.QueueName) (int, error)
	// SyncPool replaces the set of the pool's cordoned runners, which get no new tasks,
	// and returns the pool's load. Cordons expire unless further calls renew them. The
	// request carries the leases of organisations. It returns an error if a newer request
	// was applied before.
	SyncPool(ctx context.Context, name job.PoolName, cordoned []pool.RunnerID, leases quota.Request) (pool.Report, error)
	// EndRunner is the notification that an incarnation of a runner has ended. It does
	// not stop the runner.
	EndRunner(ctx context.Context, name job.PoolName, ended pool.RunnerEnded) error
	// StoreAge returns the time since the store's last response to a direct call of this
	// entry.
	StoreAge() time.Duration
	// ClaimsChanged is called after a peer has released its claims on shards, so that
	// this entry looks for free shards immediately.
	ClaimsChanged()
	// Yield releases a shard to an entry of larger capacity that has requested it.
	Yield(ctx context.Context, shard string) error
	// Runners sends the orders that this entry carries out as a delegate.
	Runners() Runners
	// DirectStore returns the store for relayed calls. It must not relay them to
	// another peer.
	DirectStore() Store
}

// Peers is both the gRPC server for an entry's peers and the client of them. It serves
// the entries that own pools and schedule jobs; the Peers of package io/peer serves the
// entries that forward requests and lend each other slots of runners. Use NewPeers.
type Peers struct {
	handler Handler
	logger  *slog.Logger

	mu          sync.Mutex
	connections map[string]*connection
	// retired holds the connections that are closed after retireDelay.
	retired   map[*connection]struct{}
	delegates map[string]*Delegate
	// ctx ends with Serve.
	ctx    context.Context
	cancel context.CancelFunc
}

// connection is a client connection with its number of consecutive failed calls.
type connection struct {
	*grpc.ClientConn
	consecutiveFailures int
}

// NewPeers returns peers whose server is started by Serve.
func NewPeers(handler Handler, logger *slog.Logger) *Peers {
	p := &Peers{
		handler: handler, logger: logger,
		connections: map[string]*connection{}, retired: map[*connection]struct{}{}, delegates: map[string]*Delegate{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Serve handles calls of peers until the context ends.
func (p *Peers) Serve(ctx context.Context, listener net.Listener) error {
	handler := &server{handler: p.handler, logger: p.logger}
	s := grpc.NewServer(
		grpc.UnaryInterceptor(handler.recoverPanic),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	)
	ownerpb.RegisterOwnerServer(s, handler)
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	defer p.cancel()
	defer p.close()
	if err := s.Serve(listener); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil // the context ended first
}

// recoverPanic is an interceptor that answers a call whose handler panics with an error,
// so that a malformed message does not end the process. The call may have had an effect.
func (s *server) recoverPanic(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	err = status.Error(codes.Internal, "panic")
	defer s.logPanic(info.FullMethod)
	return handle(ctx, request)
}

// logPanic recovers a panic and logs it with its stack. It is deferred.
func (s *server) logPanic(work string) {
	if cause := recover(); cause != nil {
		s.logger.Error("panic", "work", work, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

func (p *Peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		p.retired[c] = struct{}{}
	}
	clear(p.connections)
	for c := range p.retired {
		p.closeRetired(c)
	}
}

// retire closes a connection after retireDelay, so that its other calls can complete. New
// calls use another connection. The caller holds the lock.
func (p *Peers) retire(address string, c *connection) {
	delete(p.connections, address)
	p.retired[c] = struct{}{}
	time.AfterFunc(retireDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeRetired(c)
	})
}

// closeRetired closes a retired connection. The caller holds the lock.
func (p *Peers) closeRetired(c *connection) {
	if _, ok := p.retired[c]; !ok {
		return
	}
	delete(p.retired, c)
	if err := c.Close(); err != nil {
		p.logger.Debug("closing the connection failed", "peer", c.Target(), "error", err)
	}
}

// connect returns the connection to a peer, and creates it if there is none.
func (p *Peers) connect(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.connections[address]; c != nil {
		return c, nil
	}
	backoffConfig := backoff.DefaultConfig
	backoffConfig.BaseDelay, backoffConfig.MaxDelay = 50*time.Millisecond, maxReconnectDelay
	clientConn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, err
	}
	c := &connection{ClientConn: clientConn}
	p.connections[address] = c
	return c, nil
}

// call makes a call and retires the connection after maxConsecutiveFailures calls
// that timed out or found the peer unavailable. It returns ErrNotOwner if the peer does.
func (p *Peers) call(address string, f func(ownerpb.OwnerClient) error) error {
	c, err := p.connect(address)
	if err != nil {
		return err
	}
	err = f(ownerpb.NewOwnerClient(c.ClientConn))
	code := status.Code(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if code != codes.DeadlineExceeded && code != codes.Unavailable {
		c.consecutiveFailures = 0
		if code == codes.FailedPrecondition {
			return ErrNotOwner
		}
		return err
	}
	c.consecutiveFailures++
	if c.consecutiveFailures >= maxConsecutiveFailures && p.connections[address] == c {
		p.retire(address, c)
	}
	return err
}

// State returns the state of a job to a caller of an organisation, from the owner of the job's
// pool. It returns ErrForbidden if the job belongs to another organisation.
func (p *Peers) State(ctx context.Context, address string, name job.PoolName, caller job.Organisation, id job.ID) (state job.State, err error) {
	forbidden := false
	err = p.call(address, func(c ownerpb.OwnerClient) error {
		reply, err := c.State(ctx, &ownerpb.StateRequest{Pool: string(name), Job: string(id), Organisation: string(caller)})
		state, forbidden = job.State(reply.GetState()), reply.GetForbidden()
		return err
	})
	if err == nil && forbidden {
		return "", ErrForbidden
	}
	return state, err
}

// Waiting returns, from the owner of the pool, the number of a queue's jobs of which no
// task has started.
func (p *Peers) Waiting(ctx context.Context, address string, name job.PoolName, queue job.QueueName) (n int, err error) {
	err = p.call(address, func(c ownerpb.OwnerClient) error {
		reply, err := c.Waiting(ctx, &ownerpb.WaitingRequest{Pool: string(name), Queue: string(queue)})
		n = int(reply.GetCount())
		return err
	})
	return n, err
}

// EndRunner notifies the owner of a pool that an incarnation of a runner has ended. It
// does not stop the runner.
func (p *Peers) EndRunner(ctx context.Context, address string, name job.PoolName, ended pool.RunnerEnded) error {
	return p.call(address, func(c ownerpb.OwnerClient) error {
		_, err := c.EndRunner(ctx, &ownerpb.EndRunnerRequest{
			Pool: string(name), Runner: string(ended.Runner), BornMilliseconds: encodeBorn(ended.Born),
		})
		return err
	})
}

// Sync replaces the set of cordoned runners at the owner of a pool and returns the
// pool's load. The cordons expire unless further calls renew them. The call carries the leases
// of organisations.
func (p *Peers) Sync(ctx context.Context, address string, name job.PoolName, cordoned []pool.RunnerID, leases quota.Request) (report pool.Report, err error) {
	request := &ownerpb.SyncRequest{Pool: string(name), Organisations: encodeLeases(leases)}
	ctx = withLeaseCall(ctx, leases.Call)
	for _, id := range cordoned {
		request.Cordoned = append(request.Cordoned, string(id))
	}
	err = p.call(address, func(c ownerpb.OwnerClient) error {
		var header metadata.MD
		reply, err := c.Sync(ctx, request, grpc.Header(&header))
		if err != nil {
			return err
		}
		report = decodeReport(name, reply)
		report.Fence, err = ownerFence(header)
		return err
	})
	return report, err
}

// ClaimsChanged notifies a peer that claims on shards were released.
func (p *Peers) ClaimsChanged(ctx context.Context, address string) error {
	return p.call(address, func(c ownerpb.OwnerClient) error {
		_, err := c.ClaimsChanged(ctx, &ownerpb.ClaimsChangedRequest{})
		return err
	})
}

// Yield asks a peer to release a shard. ErrNotOwner means that the peer does not
// own it.
func (p *Peers) Yield(ctx context.Context, address, shard string) error {
	return p.call(address, func(c ownerpb.OwnerClient) error {
		_, err := c.Yield(ctx, &ownerpb.YieldRequest{Shard: shard})
		return err
	})
}

// StoreAges returns the age of the store's last response to each peer. Peers that do
// not respond within storeAgeTimeout are left out, but for those that have ended.
func (p *Peers) StoreAges(ctx context.Context, addresses []string) map[string]ownership.PeerReport {
	ctx, cancel := context.WithTimeout(ctx, storeAgeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := map[string]ownership.PeerReport{}
	for _, address := range addresses {
		wg.Go(func() {
			err := p.call(address, func(c ownerpb.OwnerClient) error {
				reply, err := c.StoreAge(ctx, &ownerpb.StoreAgeRequest{})
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				reports[address] = ownership.PeerReport{StoreAge: time.Duration(reply.GetAgeMilliseconds()) * time.Millisecond}
				return nil
			})
			if status.Code(err) == codes.Unavailable && refusesConnections(ctx, address) {
				mu.Lock()
				defer mu.Unlock()
				reports[address] = ownership.PeerReport{Ended: true}
				return
			}
			if err != nil {
				p.logger.Info("peer did not report the age of the store's last response", "peer", address, "error", err)
			}
		})
	}
	wg.Wait()
	return reports
}

// refusesConnections reports whether no process listens at an address. A machine without
// power, or behind a partition, does not refuse connections.
func refusesConnections(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
