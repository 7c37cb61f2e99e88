// Package peerpb holds the messages between entries, generated from peer.proto.
//
// # Usage
//
//	client := peerpb.NewPeerClient(connection)
//	reply, err := client.Borrow(ctx, &peerpb.BorrowRequest{From: "entry-1"})
package peerpb
