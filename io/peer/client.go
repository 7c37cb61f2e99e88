package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/backoff"

	"bronzestair/core/entry"
	"bronzestair/io/peer/peerpb"
)

// reconnectBackoff configures the attempts to reconnect to a peer.
var reconnectBackoff = backoff.Config{
	BaseDelay:  50 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   1 * time.Second,
}

// borrowSlots requests slots from a peer and submits the result to the loop. The
// term of a loan counts from before the call, so that it expires at the borrower
// before it expires at the lender.
func (p *Peers) borrowSlots(e entry.Effect) {
	event := &entry.BorrowCompleted{Peer: e.Peer, Service: e.Service, Ask: e.Ask, AskedAt: time.Now(), Failed: true}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	client, err := p.client(e.Peer)
	if err == nil {
		var reply *peerpb.BorrowReply
		reply, err = client.Borrow(ctx, &peerpb.BorrowRequest{
			From:    string(p.self),
			Service: string(e.Service),
			Count:   uint32(e.Count),
			Ask:     uint64(e.Ask),
		})
		event.Loans = decodeLoans(reply.GetLoans())
	}
	event.Failed = err != nil
	if err != nil {
		p.logger.Debug("borrowing slots failed", "peer", e.Peer, "error", err)
	}
	p.loop.Submit(event)
}

// returnSlots returns loans to a peer. If the call fails, the peer reclaims them when
// their term ends.
func (p *Peers) returnSlots(e entry.Effect) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	client, err := p.client(e.Peer)
	if err == nil {
		_, err = client.Return(ctx, &peerpb.ReturnRequest{
			From:    string(p.self),
			Loans:   encodeLoans(e.Loans),
			VoidAsk: uint64(e.Ask),
		})
	}
	if err != nil {
		p.logger.Debug("returning slots failed", "peer", e.Peer, "error", err)
	}
}

// queryLoans requests the list of this entry's slots that a peer holds on loan. If
// the call fails, nothing is submitted and the reducer requests it again.
func (p *Peers) queryLoans(e entry.Effect) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	client, err := p.client(e.Peer)
	if err != nil {
		return
	}
	reply, err := client.Held(ctx, &peerpb.HeldRequest{From: string(p.self)})
	if err != nil {
		return
	}
	p.loop.Submit(&entry.LoansReported{Peer: e.Peer, Loans: decodeLoans(reply.GetLoans())})
}
