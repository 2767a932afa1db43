package keeper

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
)

// WatchMillis is the length of one waiting watch, in milliseconds.
const WatchMillis tiller.Millis = 10_000

// Watch calls learned for each record that is read from the store, newer or unchanged, until ctx ends.
// A record with an unchanged version confirms that it is still the newest.
// A store that returns an old record is not a reason to stop: the caller keeps the highest revision.
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
