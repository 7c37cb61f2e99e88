// Package retry limits retries to a share of the successful requests.
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
	// tokensPerSuccess is the number of retries allowed per success.
	tokensPerSuccess = 0.1
	// maxTokens limits the burst of retries after many successes.
	maxTokens = 20
	// initialTokens is the number of retries allowed before the first success.
	initialTokens = 5
)

// Budget is a token bucket that successes fill and retries drain, after the
// retry budget of Finagle and the retry throttling of gRPC (gRFC A6).
//
// The zero value holds initialTokens.
type Budget struct {
	// spent is the number of tokens taken minus those added. It is negative if more
	// tokens were added.
	spent float64
}

// Succeeded adds the tokens of one success.
func (b *Budget) Succeeded() {
	b.spent = max(b.spent-tokensPerSuccess, initialTokens-maxTokens)
}

// Spend takes a token for one retry and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.spent+1 > initialTokens {
		return false
	}
	b.spent++
	return true
}
