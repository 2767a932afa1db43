package faker

import tiller "github.com/carawaytiller/carawaytiller"

const (
	rateWindowMillis tiller.Millis = 1000
	rateBucketMillis tiller.Millis = 10
	rateBuckets                    = int(rateWindowMillis / rateBucketMillis)
)

// meter counts calls in a sliding window of one second.
type meter struct {
	buckets  [rateBuckets]int
	newest   tiller.Millis
	sum      int
	greatest int
}

// add counts one call at now.
func (m *meter) add(now tiller.Millis) {
	m.advance(now)
	m.buckets[m.newest%tiller.Millis(rateBuckets)]++
	m.sum++
	m.greatest = max(m.greatest, m.sum)
}

// rate returns the number of calls in the one-second window that ends at now.
func (m *meter) rate(now tiller.Millis) int {
	m.advance(now)
	return m.sum
}

// advance moves the window to now and removes the calls that are no longer inside it.
func (m *meter) advance(now tiller.Millis) {
	bucket := now / rateBucketMillis
	steps := min(bucket-m.newest, tiller.Millis(rateBuckets))
	for i := range steps {
		slot := &m.buckets[(bucket-i)%tiller.Millis(rateBuckets)]
		m.sum -= *slot
		*slot = 0
	}
	m.newest = max(m.newest, bucket)
}

// rateLimit limits the number of calls per second. Refused calls do not count towards the limit.
type rateLimit struct {
	perSecond int
	accepted  meter
	offered   meter
}

// take counts a call at now as offered, and reports whether it is within the limit.
func (l *rateLimit) take(now tiller.Millis) bool {
	l.offered.add(now)
	if l.accepted.rate(now) >= l.perSecond {
		return false
	}
	l.accepted.add(now)
	return true
}
