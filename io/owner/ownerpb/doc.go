// Package ownerpb holds the messages between entries and the owners of pools,
// generated from owner.proto.
//
// # Usage
//
//	client := ownerpb.NewOwnerClient(connection)
//	reply, err := client.State(ctx, &ownerpb.StateRequest{Pool: "booking", Job: id})
package ownerpb
