package hedger

// Budget is a token bucket for extra requests that is filled by first requests. It is an immutable
// value; the With methods return a changed copy.
type Budget struct {
	// tokens is in hundredths of a request, so that percentages add up without rounding.
	tokens    int
	percent   int
	maxTokens int
}

// tokensPerRequest is the number of tokens that one extra request costs.
const tokensPerRequest = 100

// NewBudget returns an empty Budget that gains percent extra requests per 100 first requests and
// accumulates at most burst extra requests.
func NewBudget(percent, burst int) Budget {
	return Budget{percent: max(percent, 0), maxTokens: max(burst, 0) * tokensPerRequest}
}

// WithFirst returns b after n first requests.
func (b Budget) WithFirst(n int) Budget {
	b.tokens = min(b.tokens+n*b.percent, b.maxTokens)
	return b
}

// WithShed returns b after a first request was shed: it takes back half of what the request added. When
// every request is shed, extra requests only add load.
func (b Budget) WithShed() Budget {
	b.tokens = max(b.tokens-b.percent/2, 0)
	return b
}

// WithPercent returns b with another number of extra requests per 100 first requests.
func (b Budget) WithPercent(percent int) Budget {
	b.percent = max(percent, 0)
	return b
}

// Allows reports whether the budget covers n extra requests.
func (b Budget) Allows(n int) bool { return b.tokens >= n*tokensPerRequest }

// WithSpent returns b after n extra requests. A negative n adds to the budget.
func (b Budget) WithSpent(n int) Budget {
	b.tokens -= n * tokensPerRequest
	return b
}

// WithBurst returns b with another maximum of accumulated extra requests.
func (b Budget) WithBurst(burst int) Budget {
	b.maxTokens = max(burst, 0) * tokensPerRequest
	b.tokens = min(b.tokens, b.maxTokens)
	return b
}

// WithGain returns b with n extra requests added, up to the maximum.
func (b Budget) WithGain(n int) Budget {
	b.tokens = min(b.tokens+n*tokensPerRequest, b.maxTokens)
	return b
}
