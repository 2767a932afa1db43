package hedger

// Budget is a token bucket filled by first requests. It is an immutable value;
// the With methods return the changed copy.
type Budget struct {
	// tokens is in hundredths of a request, so that whole percentages add up exactly.
	tokens    int
	percent   int
	maxTokens int
}

// tokensPerRequest is the price of one extra request.
const tokensPerRequest = 100

// NewBudget returns an empty Budget that gains percent extra requests in 100 first ones
// and holds at most burst extra requests.
func NewBudget(percent, burst int) Budget {
	return Budget{percent: max(percent, 0), maxTokens: max(burst, 0) * tokensPerRequest}
}

// WithFirst returns b after n first requests.
func (b Budget) WithFirst(n int) Budget {
	b.tokens = min(b.tokens+n*b.percent, b.maxTokens)
	return b
}

// WithShed returns b after a first request was shed: it gains only half of its share. When every
// request is shed, extra requests only add to the load.
func (b Budget) WithShed() Budget {
	b.tokens = max(b.tokens-b.percent/2, 0)
	return b
}

// WithPercent returns b with another share of extra requests.
func (b Budget) WithPercent(percent int) Budget {
	b.percent = max(percent, 0)
	return b
}

// Allows says whether the budget covers n extra requests.
func (b Budget) Allows(n int) bool { return b.tokens >= n*tokensPerRequest }

// WithSpent returns b after n extra requests.
func (b Budget) WithSpent(n int) Budget {
	b.tokens -= n * tokensPerRequest
	return b
}

// WithBurst returns b with another bound of the extra requests that it holds.
func (b Budget) WithBurst(burst int) Budget {
	b.maxTokens = max(burst, 0) * tokensPerRequest
	b.tokens = min(b.tokens, b.maxTokens)
	return b
}

// WithGain returns b after it was given n extra requests at once.
func (b Budget) WithGain(n int) Budget {
	b.tokens = min(b.tokens+n*tokensPerRequest, b.maxTokens)
	return b
}
