package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

// Alarm tells the driver of a State when to set its timer, so that a timer is outstanding whenever work is due. It is
// immutable.
type Alarm struct {
	at          tiller.Millis
	outstanding bool
}

// WithFired returns the alarm after its timer has fired.
func (Alarm) WithFired() Alarm { return Alarm{} }

// WithDue returns the alarm for work that is due at a time, and whether the driver must set its timer to that time.
func (a Alarm) WithDue(at tiller.Millis) (Alarm, bool) {
	if a.outstanding && a.at == at {
		return a, false
	}
	return Alarm{at: at, outstanding: true}, true
}

// Covers reports whether a timer is outstanding that fires at a time or earlier.
func (a Alarm) Covers(at tiller.Millis) bool { return a.outstanding && a.at <= at }
