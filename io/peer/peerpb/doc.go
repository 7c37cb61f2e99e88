// Package peerpb contains the gRPC service by which entries lend each other slots of
// runners, and its messages. It is generated from peer.proto.
//
// # Usage
//
//	client := peerpb.NewPeerClient(connection)
//	reply, err := client.Borrow(ctx, &peerpb.BorrowRequest{From: "entry-1"})
package peerpb
