package keeper

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
)

// WatchMillis is the longest time, in milliseconds, that one watch call waits for a newer version.
const WatchMillis tiller.Millis = 10_000

// Watch calls onRecord for each record that a watch call of the store returns, until ctx ends.
// A record with an unchanged version confirms that it is still the newest.
// The store may return an older record; Watch passes it on, and the caller keeps the highest revision.
func (k *Keeper) Watch(ctx context.Context, env string, onRecord func(Record)) {
	var version int64
	for attempt := 0; ctx.Err() == nil; {
		e, err := k.cfg.Platform.Watch(ctx, k.key(env, "document"), version, WatchMillis)
		if err == nil {
			var r Record
			if r, err = decodeRecord(e); err == nil {
				version = max(version, e.Version)
				attempt = 0
				onRecord(r)
				continue
			}
		}
		if k.backoff(ctx, attempt) != nil {
			return
		}
		attempt++
	}
}
