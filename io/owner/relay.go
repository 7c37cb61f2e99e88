package owner

import (
	"context"
	"errors"
	"time"

	"bronzestair/core/table"
	"bronzestair/core/verdict"
	"bronzestair/io/owner/ownerpb"
)

// RelayedStore reaches the platform's store through a peer.
type RelayedStore struct {
	peers   *Peers
	address string
}

// Relay returns the platform's store, reached through the peer at the address.
func (p *Peers) Relay(address string) *RelayedStore { return &RelayedStore{peers: p, address: address} }

// relayTimeout limits a relayed call, in addition to the time that a feed may wait.
const relayTimeout = 900 * time.Millisecond

// call sends a store call to the peer. The error is a *table.Conflict or a
// *table.Failure. A call without a response may have been run.
func (s *RelayedStore) call(ctx context.Context, wait time.Duration, request *ownerpb.RelayRequest) (*ownerpb.RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	var reply *ownerpb.RelayReply
	err := s.peers.call(s.address, func(c ownerpb.OwnerClient) (err error) {
		reply, err = c.Relay(ctx, request)
		return err
	})
	if err != nil {
		return nil, &table.Failure{Verdict: verdict.MayHaveRun, Reason: err.Error()}
	}
	if f := reply.GetFailure(); f != nil {
		v := verdict.MayHaveRun
		if f.GetNotRun() {
			v = verdict.NotRun
		}
		return nil, &table.Failure{Verdict: v, HistoryLost: f.GetHistoryLost(), Reason: f.GetReason()}
	}
	if reply.GetConflict() {
		return nil, &table.Conflict{Rows: decodeRows(reply.GetRows())}
	}
	return reply, nil
}

// Commit applies a transaction.
func (s *RelayedStore) Commit(ctx context.Context, tx *table.Tx) (table.Version, error) {
	reply, err := s.call(ctx, 0, &ownerpb.RelayRequest{Call: &ownerpb.RelayRequest_Commit{Commit: encodeTx(tx)}})
	return table.Version(reply.GetVersion()), err
}

// Rows returns the rows of one part whose names are in [from, to).
func (s *RelayedStore) Rows(ctx context.Context, name, part, from, to string) (*table.Page, error) {
	reply, err := s.call(ctx, 0, &ownerpb.RelayRequest{Call: &ownerpb.RelayRequest_Rows{
		Rows: &ownerpb.RowsCall{Table: name, Part: part, From: from, To: to},
	}})
	return decodePage(reply, err)
}

// Parts returns the names of a table's parts.
func (s *RelayedStore) Parts(ctx context.Context, name string) ([]string, error) {
	reply, err := s.call(ctx, 0, &ownerpb.RelayRequest{Call: &ownerpb.RelayRequest_Parts{Parts: name}})
	return reply.GetParts(), err
}

// Feed returns the rows of a table that have changed after a version.
func (s *RelayedStore) Feed(ctx context.Context, name string, after table.Version, wait time.Duration) (*table.Page, error) {
	reply, err := s.call(ctx, wait, &ownerpb.RelayRequest{Call: &ownerpb.RelayRequest_Feed{
		Feed: &ownerpb.FeedCall{Table: name, After: uint64(after), WaitMilliseconds: wait.Milliseconds()},
	}})
	return decodePage(reply, err)
}

func decodePage(reply *ownerpb.RelayReply, err error) (*table.Page, error) {
	if err != nil {
		return nil, err
	}
	return &table.Page{
		Rows: decodeRows(reply.GetRows()), More: reply.GetMore(), Version: table.Version(reply.GetVersion()),
	}, nil
}

// Relay implements ownerpb.OwnerServer.
func (s *server) Relay(ctx context.Context, in *ownerpb.RelayRequest) (*ownerpb.RelayReply, error) {
	store := s.handler.DirectStore()
	var reply ownerpb.RelayReply
	var page *table.Page
	var err error
	switch call := in.GetCall().(type) {
	case *ownerpb.RelayRequest_Commit:
		var version table.Version
		version, err = store.Commit(ctx, decodeTx(call.Commit))
		reply.Version = uint64(version)
	case *ownerpb.RelayRequest_Rows:
		page, err = store.Rows(ctx, call.Rows.GetTable(), call.Rows.GetPart(), call.Rows.GetFrom(), call.Rows.GetTo())
	case *ownerpb.RelayRequest_Parts:
		reply.Parts, err = store.Parts(ctx, call.Parts)
	case *ownerpb.RelayRequest_Feed:
		wait := time.Duration(call.Feed.GetWaitMilliseconds()) * time.Millisecond
		page, err = store.Feed(ctx, call.Feed.GetTable(), table.Version(call.Feed.GetAfter()), wait)
	default:
		err = &table.Failure{Verdict: verdict.NotRun, Reason: "the peer does not know the call"}
	}
	if page != nil {
		reply.Rows, reply.More, reply.Version = encodeRows(page.Rows), page.More, uint64(page.Version)
	}
	encodeError(&reply, err)
	return &reply, nil
}

func encodeError(reply *ownerpb.RelayReply, err error) {
	var conflict *table.Conflict
	var failure *table.Failure
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		reply.Conflict, reply.Rows = true, encodeRows(conflict.Rows)
	case errors.As(err, &failure):
		reply.Failure = &ownerpb.RelayReply_Failure{
			NotRun: failure.Verdict == verdict.NotRun, HistoryLost: failure.HistoryLost, Reason: failure.Reason,
		}
	default:
		reply.Failure = &ownerpb.RelayReply_Failure{Reason: err.Error()}
	}
}

func encodeKey(k table.Key) *ownerpb.Key {
	return &ownerpb.Key{Table: k.Table, Part: k.Part, Name: k.Name}
}

func decodeKey(k *ownerpb.Key) table.Key {
	return table.Key{Table: k.GetTable(), Part: k.GetPart(), Name: k.GetName()}
}

func encodeRows(rows []table.Row) []*ownerpb.Row {
	out := make([]*ownerpb.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &ownerpb.Row{Key: encodeKey(r.Key), Value: r.Value, Version: uint64(r.Version), Removed: r.Removed})
	}
	return out
}

func decodeRows(rows []*ownerpb.Row) []table.Row {
	out := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, table.Row{
			Key: decodeKey(r.GetKey()), Value: r.GetValue(), Version: table.Version(r.GetVersion()), Removed: r.GetRemoved(),
		})
	}
	return out
}

func encodeTx(tx *table.Tx) *ownerpb.Tx {
	out := &ownerpb.Tx{Part: tx.Part, Puts: encodeRows(tx.Puts)}
	for _, e := range tx.Expects {
		out.Expects = append(out.Expects, &ownerpb.Row{Key: encodeKey(e.Key), Version: uint64(e.Version)})
	}
	for _, k := range tx.Removes {
		out.Removes = append(out.Removes, encodeKey(k))
	}
	return out
}

func decodeTx(tx *ownerpb.Tx) *table.Tx {
	out := &table.Tx{Part: tx.GetPart(), Puts: decodeRows(tx.GetPuts())}
	for _, e := range tx.GetExpects() {
		out.Expect(decodeKey(e.GetKey()), table.Version(e.GetVersion()))
	}
	for _, k := range tx.GetRemoves() {
		out.Remove(decodeKey(k))
	}
	return out
}
