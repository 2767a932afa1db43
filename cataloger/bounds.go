package cataloger

// Bounds limit what the whole fleet sends.
type Bounds struct {
	// RetryRatio and RetrySlack bound the extra requests to one service: per request, and besides.
	RetryRatio float64
	RetrySlack float64
	// ColdOverage and ColdSlack bound the requests per second to a cold upstream: per request that
	// it bears, and besides.
	ColdOverage float64
	ColdSlack   float64
}
