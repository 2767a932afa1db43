package reducer

import "github.com/carawaytiller/carawaytiller/tracker"

// LeasePayload is a message of the lease protocol.
type LeasePayload = tracker.Message
