// Package retry bounds retries by a share of successes.
//
// # Usage
//
//	var b retry.Budget
//	b.Succeeded()
//	if b.Spend() {
//		// retry
//	}
package retry

const (
	// tokensPerSuccess is the share of successes that may be retries.
	tokensPerSuccess = 0.1
	// maxTokens bounds the burst of retries after a long good spell.
	maxTokens = 20
	// initialTokens allow a few retries before the first success.
	initialTokens = 5
)

// Budget is a token bucket that successes fill and retries empty, after the
// retry budget of Finagle and gRPC's retry throttling (gRFC A6).
//
// The zero value allows a few retries.
type Budget struct {
	spent float64
}

// Succeeded adds the share of one success.
func (b *Budget) Succeeded() {
	b.spent = max(b.spent-tokensPerSuccess, initialTokens-maxTokens)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.spent+1 > initialTokens {
		return false
	}
	b.spent++
	return true
}
