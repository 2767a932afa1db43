// Package gatherer implements the state machine that serves queries. It decides which upstreams and daemons
// get requests, when a hedged request or a retry is sent, when an answer is returned although shards are
// missing, and when a query is refused. Step applies one event and returns effects as data; it does no I/O and
// reads no clock. Times are in milliseconds.
//
// A query consists of shards, each answered by one service. A shard is requested directly from an upstream of
// that service, or through a sub-query: another daemon gathers several shards and merges their records. That
// daemon first accepts the sub-query. Until the requesting daemon has confirmed the acceptance, the request for
// each shard is sent to at most one upstream. Further requests for a shard, hedges as well as retries, are
// charged to the retry budget of the service.
package gatherer
