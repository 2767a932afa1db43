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
func (k *Keeper) Watch(ctx context.Context, env string, learned func(Record)) {
	var version int64
	for try := 0; ctx.Err() == nil; {
		e, err := k.cfg.Platform.Watch(ctx, k.key(env, "document"), version, WatchMillis)
		if err == nil {
			var r Record
			if r, err = decodeRecord(e); err == nil {
				version = max(version, e.Version)
				try = 0
				learned(r)
				continue
			}
		}
		if k.backoff(ctx, try) != nil {
			return
		}
		try++
	}
}
