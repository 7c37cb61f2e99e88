// Package peer connects entries over gRPC for lending each other slots of runners.
// Requests of callers do not pass through it.
//
// # Usage
//
//	peers := peer.New("entry-1", loop, directory, logger)
//	loop.Register(peers, priority)
//	go peers.Serve(listener)
//	defer peers.Close()
package peer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/service"
	"bronzestair/core/slot"
	"bronzestair/io/peer/peerpb"
)

// callTimeout limits a call to a peer. It is shorter than the term of a loan.
const callTimeout = 250 * time.Millisecond

// Loop runs the reducer.
type Loop interface {
	// Submit queues an event to be reduced and its effects to be handled. It may
	// return before that has happened, so the event must not be modified until an
	// effect shows that it was reduced.
	Submit(entry.Event)
}

// Directory resolves the addresses of peers.
type Directory interface {
	PeerAddress(fleet.EntryID) (netip.AddrPort, bool)
}

// Peers is both the gRPC server for an entry's peers and the client of them. It serves
// the entries that forward requests and lend each other slots of runners; the Peers of
// package io/owner serves the entries that own pools and schedule jobs. Use New.
type Peers struct {
	peerpb.UnimplementedPeerServer
	self      fleet.EntryID
	loop      Loop
	directory Directory
	logger    *slog.Logger
	server    *grpc.Server
	ctx       context.Context
	cancel    context.CancelFunc
	// calls are the calls to peers in flight.
	calls sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	connections map[netip.AddrPort]*grpc.ClientConn
	// pendingCalls holds the calls of peers that wait for the reducer's reply.
	pendingCalls map[pendingKey]chan []slot.Loan
}

// pendingKey identifies a call of a peer by the ID of its borrow request, or by a random
// number if the call is not a borrow request.
type pendingKey struct {
	peer fleet.EntryID
	id   slot.BorrowRequestID
}

// New returns peers whose server is started by Serve.
func New(self fleet.EntryID, loop Loop, directory Directory, logger *slog.Logger) *Peers {
	p := &Peers{
		self: self, loop: loop, directory: directory, logger: logger,
		server:       grpc.NewServer(),
		connections:  map[netip.AddrPort]*grpc.ClientConn{},
		pendingCalls: map[pendingKey]chan []slot.Loan{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	peerpb.RegisterPeerServer(p.server, p)
	return p
}

// Serve handles calls of peers until Close.
func (p *Peers) Serve(l net.Listener) error {
	if err := p.server.Serve(l); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil // Close was called
}

// Close prevents further calls to peers, waits for those in flight, each of which is
// limited by callTimeout, and stops the server.
func (p *Peers) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.calls.Wait()
	p.cancel()
	p.server.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.Close()
	}
}

// Borrow implements peerpb.PeerServer.
func (p *Peers) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if r.GetAsk() == 0 {
		return nil, status.Error(codes.InvalidArgument, "the ask is 0")
	}
	loans, err := p.submitAndWait(ctx, fleet.EntryID(r.GetFrom()), slot.BorrowRequestID(r.GetAsk()), &entry.BorrowRequested{
		Peer:    fleet.EntryID(r.GetFrom()),
		Service: service.ID(r.GetService()),
		Count:   int(min(r.GetCount(), slot.MaxPerRunner)),
		Ask:     slot.BorrowRequestID(r.GetAsk()),
	})
	return &peerpb.BorrowReply{Loans: encodeLoans(loans)}, err
}

// Return implements peerpb.PeerServer.
func (p *Peers) Return(_ context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	p.loop.Submit(&entry.SlotsReturned{
		Peer:    fleet.EntryID(r.GetFrom()),
		Loans:   decodeLoans(r.GetLoans()),
		VoidAsk: slot.BorrowRequestID(r.GetVoidAsk()),
	})
	return &peerpb.ReturnReply{}, nil
}

// Held implements peerpb.PeerServer.
func (p *Peers) Held(ctx context.Context, r *peerpb.HeldRequest) (*peerpb.HeldReply, error) {
	peer := fleet.EntryID(r.GetFrom())
	id := slot.BorrowRequestID(rand.Uint64())
	loans, err := p.submitAndWait(ctx, peer, id, &entry.LoansQueried{Peer: peer, Ask: id})
	return &peerpb.HeldReply{Loans: encodeLoans(loans)}, err
}

// submitAndWait submits the event of a peer's call and waits for the reducer's reply.
func (p *Peers) submitAndWait(ctx context.Context, peer fleet.EntryID, id slot.BorrowRequestID, event entry.Event) ([]slot.Loan, error) {
	key := pendingKey{peer: peer, id: id}
	reply := make(chan []slot.Loan, 1)
	p.mu.Lock()
	p.pendingCalls[key] = reply
	p.mu.Unlock()
	p.loop.Submit(event)
	select {
	case loans := <-reply:
		return loans, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pendingCalls, key)
		p.mu.Unlock()
		return nil, ctx.Err()
	}
}

// Kinds returns the kinds of effects that Handle carries out.
func (p *Peers) Kinds() []entry.EffectKind {
	return []entry.EffectKind{entry.BorrowSlots, entry.LendSlots, entry.ReturnSlots, entry.QueryLoans, entry.ReportLoans}
}

// Handle carries out an effect. It is called by the loop.
func (p *Peers) Handle(e entry.Effect) {
	switch e.Kind {
	case entry.LendSlots, entry.ReportLoans:
		p.reply(e)
	case entry.BorrowSlots:
		p.startCall(func() { p.borrowSlots(e) })
	case entry.ReturnSlots:
		p.startCall(func() { p.returnSlots(e) })
	case entry.QueryLoans:
		p.startCall(func() { p.queryLoans(e) })
	}
}

// reply passes the reducer's reply to the pending call of a peer. It drops the reply if
// that call has ended.
func (p *Peers) reply(e entry.Effect) {
	key := pendingKey{peer: e.Peer, id: e.Ask}
	p.mu.Lock()
	reply := p.pendingCalls[key]
	delete(p.pendingCalls, key)
	p.mu.Unlock()
	if reply != nil {
		reply <- e.Loans
	}
}

// startCall runs a call to a peer in a new goroutine, so that the loop is not blocked.
func (p *Peers) startCall(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.calls.Go(f)
	}
}

func encodeLoans(loans []slot.Loan) []*peerpb.Loan {
	out := make([]*peerpb.Loan, len(loans))
	for i, l := range loans {
		out[i] = &peerpb.Loan{Runner: l.Runner, Slot: uint32(l.Slot), Ask: uint64(l.Ask)}
	}
	return out
}

// decodeLoans decodes loans and leaves out those with an invalid slot index.
func decodeLoans(loans []*peerpb.Loan) []slot.Loan {
	var out []slot.Loan
	for _, l := range loans {
		if l.GetSlot() < slot.MaxPerRunner {
			out = append(out, slot.Loan{Runner: l.GetRunner(), Slot: slot.Index(l.GetSlot()), Ask: slot.BorrowRequestID(l.GetAsk())})
		}
	}
	return out
}

// client returns the gRPC client of a peer, and creates its connection if there is
// none.
func (p *Peers) client(peer fleet.EntryID) (peerpb.PeerClient, error) {
	address, ok := p.directory.PeerAddress(peer)
	if !ok {
		return nil, status.Errorf(codes.NotFound, "peer %q does not exist", peer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.connections[address]
	if !ok {
		var err error
		c, err = grpc.NewClient("passthrough:///"+address.String(),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: callTimeout}))
		if err != nil {
			return nil, err
		}
		p.connections[address] = c
	}
	return peerpb.NewPeerClient(c), nil
}
