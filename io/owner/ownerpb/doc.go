// Package ownerpb contains the gRPC service that entries serve to their peers for
// the shards that they own, and its messages. It is generated from owner.proto.
//
// # Usage
//
//	client := ownerpb.NewOwnerClient(connection)
//	reply, err := client.State(ctx, &ownerpb.StateRequest{Pool: "booking", Job: id})
package ownerpb
