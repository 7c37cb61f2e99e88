package ownership

import "bronzestair/core/process"

// Claim is the stored lease on a shard. The ownership that this process holds
// under its own claim is a Tenure.
type Claim struct {
	// Holder is the name of the process (entry instance) that holds the shard. It
	// is the same after a restart.
	Holder string `json:"holder"`
	// Address is the address at which the holder serves its peers, the other processes.
	Address string `json:"address"`
	// Incarnation distinguishes restarts of the same holder.
	Incarnation string `json:"incarnation"`
	// Epoch counts the ownerships of the shard, starting at 1.
	Epoch int `json:"epoch"`
	// Released is true if the holder has given the shard up.
	Released bool `json:"released,omitempty"`
	// Capacity is the capacity of the holder. Peers compare it with their own before
	// they ask the holder to yield the shard.
	process.Capacity
	// Renewals counts the attempts to renew the claim, so that each renewal changes
	// the row.
	Renewals uint64 `json:"renewed,omitempty"`
}

// Row is a claim with the version of its row in the store.
type Row struct {
	Shard   Shard
	Claim   Claim
	Version Version
}

// Write is a claim to store on the condition that its row still has the version Expect.
type Write struct {
	Shard  Shard
	Expect Version
	Claim  Claim
	// Takeover is true if the write begins an ownership and false for a renewal or
	// release.
	Takeover bool
	// SameHolder is true for a takeover from this process itself, in this or an
	// earlier incarnation.
	SameHolder bool
}

// Tenure is one continuous ownership of a shard by this process.
type Tenure struct {
	Shard Shard
	Epoch int
	// Fence is the fencing token: the version of the row that began the ownership.
	// It becomes the pool.Fence of the orders to runners.
	Fence Version
	// PreviousHolder is the previous holder of the shard; it is empty if there was none.
	PreviousHolder string
}
