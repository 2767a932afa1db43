package executor_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/merger"
)

// benchmarkShards is the number of shards that one daemon of a large fleet gathers for a query.
const benchmarkShards = 45

// serveRecords answers each request on a listener with 62 records.
func serveRecords(l net.Listener, service string) {
	answer := []byte("HTTP/1.1 200 OK\r\nX-Stamp: " + service + "\r\nContent-Length: 992\r\n\r\n" + strings.Repeat("r", 62*merger.RecordBytes))
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := conn.Write(answer); err != nil {
					return
				}
			}
		}()
	}
}

// BenchmarkSubQuery gathers the shards of one sub-query over loopback connections that are kept.
func BenchmarkSubQuery(b *testing.B) {
	state := gatherer.New(gatherer.Settings{VM: "vm", Region: "r", Domain: "d", Power: 192, Bounds: cataloger.Bounds{RetryRatio: 0.2, RetrySlack: 50}})
	client := forwarder.New(tiller.SystemClock(), func(http.Header) string { return "" })
	codec := executor.Codec{
		Outgoing:   func(h http.Header, _ tiller.Millis, id string) { h.Set("X-Upstream", id) },
		PerAttempt: func(string) bool { return false },
		Incoming: func(r forwarder.Response) gatherer.Answer {
			return gatherer.Answer{Status: r.Status, Stamp: r.Header.Get("X-Stamp"), Body: r.Body}
		},
	}
	observer := executor.Observer{Effect: func(gatherer.Effect) {}, Answer: func(tiller.Millis, bool) {}}
	x := executor.New(tiller.SystemClock(), client, codec, observer, state)
	var shards []string
	var services []cataloger.Service
	for i := range benchmarkShards {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		b.Cleanup(func() { _ = l.Close() })
		service := fmt.Sprintf("s-%d", i)
		go serveRecords(l, service)
		shards = append(shards, service)
		services = append(services, cataloger.Service{Name: service, MaxConnections: 175})
		x.Step(gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u" + service, Service: service, Address: l.Addr().String(), Region: "r", Domain: "d", Slots: 3}})
	}
	route := cataloger.Route{Name: "all", Host: "h", Prefix: "/", Repeatable: true, Attempts: 2, TopK: 50, Shards: shards, MinCoverage: 0.9}
	x.Step(gatherer.ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, []cataloger.Route{route}, services)})
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		h := x.SubmitSub(executor.Request{ID: fmt.Sprint(i), Method: "GET", URI: "/x", Host: "h", Header: http.Header{"X-Id": {fmt.Sprint(i)}}},
			gatherer.SubQueryArrived{SubQuery: gatherer.SubQuery{Route: "all", Shards: shards, TopK: 50, Groups: 1, Attempts: 2, Target: 5000, Timeout: 5000}})
		x.Confirm(h)
		o := <-h.Done
		require.Len(b, o.SubReply.Parts, benchmarkShards)
	}
}
