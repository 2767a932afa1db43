package executor

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// Guards against another daemon's response without a valid status that is taken for a reply or a report, or that is
// waited for until the deadline.
func TestStatusOfDaemonThatIsNoAnswerFailsAtOnce(t *testing.T) {
	reply, err := cbor.Marshal(NewReplyFrame(true, gatherer.SubReply{}))
	require.NoError(t, err)
	report, err := cbor.Marshal(gatherer.Report{})
	require.NoError(t, err)
	inside := func(body []byte) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", PartsHeader, len(body), body)
	}
	for _, status := range []string{"000", "099", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			answers := map[string]string{GatherPath: inside(reply), ReportPath: inside(report)}
			address := make(map[string]string)
			for path, answer := range answers {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { _ = l.Close() })
				go faker.ServeRaw(l, func(string) string { return "HTTP/1.1 " + status + " Trouble\r\n\r\n" + answer })
				address[path] = l.Addr().String()
			}
			clock, account := tiller.SystemClock(), accountant.New(1<<20, func(int64) {})
			client := forwarder.New(clock, account, func(http.Header) string { return "" })
			x := New(clock, client, Codec{}, Observer{}, gatherer.New(gatherer.Settings{VM: "vm-1"}))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			start := time.Now()
			accepted := func(func()) { require.Fail(t, "the sub-query counts as accepted") }
			_, failure := x.exchangeSubQuery(ctx, address[GatherPath], SubQuery{}, accepted, func(gatherer.SubReply) {})
			require.NotNil(t, failure)
			require.Equal(t, tiller.MayHaveRun, failure.Verdict)
			require.Equal(t, tiller.ReasonMismatch, failure.Reason)
			_, err := x.exchangeReport(gatherer.SendReport{Member: cataloger.Member{Address: address[ReportPath]}})
			require.Error(t, err)
			require.Less(t, time.Since(start), 300*time.Millisecond)
		})
	}
}

// Guards against a probe that takes a response without a valid status for a daemon that can be reached.
func TestProbeWithoutValidStatusDoesNotReach(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 000 Trouble\r\n\r\n", "HTTP/1.1 099 Trouble\r\n\r\n", "HTTP/1.1 101 Trouble\r\n\r\n", "HTTP/1.1 600 Trouble\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go faker.ServeRaw(l, func(string) string { return head + "HTTP/1.1 204 No Content\r\n\r\n" })
		clock, account := tiller.SystemClock(), accountant.New(1<<20, func(int64) {})
		client := forwarder.New(clock, account, func(http.Header) string { return "" })
		// A daemon that was not reached is probed again.
		again := false
		observer := Observer{Effect: func(e gatherer.Effect) {
			if _, ok := e.(gatherer.Probe); ok {
				again = true
			}
		}}
		x := New(clock, client, Codec{}, observer, gatherer.New(gatherer.Settings{VM: "vm-1", Region: "r"}))
		member := cataloger.Member{VM: "vm-2", Address: l.Addr().String(), Region: "r"}
		x.Step(gatherer.MembersChanged{Members: []cataloger.Member{member}})
		start := time.Now()
		x.probePeer(member)
		require.Less(t, time.Since(start), probeTimeout.Duration(), head)
		x.Step(gatherer.MembersChanged{})
		x.mu.Lock()
		require.Equal(t, head != "", again, "%q", head)
		x.mu.Unlock()
	}
}
