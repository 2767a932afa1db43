package soak_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

const (
	// memoryMB is the memory limit of the smallest VM, and endlessPeak the part of it that a daemon may use.
	memoryMB    = 184
	endlessPeak = 0.75
	// endlessServices have one sound upstream and one that sends without end.
	endlessServices = 16
	endlessClients  = 32
	endlessFor      = 10 * time.Second
	// Each sender of requests uses connectionsPerSender connections, and pauses on each after writesBeforePause writes
	// of 64 KiB.
	connectionsPerSender = 8
	writesBeforePause    = 60
	senderPause          = 2 * time.Second
	// largeAnswer is the size of an honest answer, close to the bound of one answer.
	largeAnswer = 7 << 20
	// linkBytesPerSecond is the bandwidth of a VM's link, 1 Gbit/s. More cannot reach a daemon.
	linkBytesPerSecond = 125_000_000
)

// link paces all clients of one run together. Without it, they take the processor time that the daemon needs, which
// also delays requests of others. Its zero value is ready for use.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// wait waits until n bytes more fit on the link.
func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / linkBytesPerSecond)
	due := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(due))
}

// endless are the starts of answers without end, each with the bytes that are repeated.
var endless = [][2]string{
	{"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10)},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
	{"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("x", 64<<10) + "\r\n"},
	{"", strings.Repeat("x", 64<<10)},
}

// serveEndless answers each request with bytes without end, until the caller closes the connection.
func serveEndless(l net.Listener, start, repeat string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			for data := start; ; data = repeat {
				if _, err := conn.Write([]byte(data)); err != nil {
					return
				}
			}
		}()
	}
}

// peakMemory returns the peak resident memory of a process in MB.
func peakMemory(t *testing.T, p *process) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, line, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kb, err := strconv.ParseFloat(strings.Fields(line)[0], 64)
	require.NoError(t, err)
	return kb / 1024
}

// newEndlessRun starts a daemon with endlessServices, and the service "calm" whose upstreams are sound.
func newEndlessRun(t *testing.T) *process {
	r := &run{t: t, binary: buildDaemon(t), store: faker.NewStore(), upstreamsByService: make(map[string][]*faker.Upstream)}
	store := httptest.NewServer(r.store)
	t.Cleanup(store.Close)
	var shards []string
	for i := range endlessServices {
		service := fmt.Sprintf("s-%d", i)
		shards = append(shards, fmt.Sprintf("%q", service))
		r.addUpstream(fmt.Sprintf("i-sound-%d", i), service, domains[0])
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		form := endless[i%len(endless)]
		go serveEndless(l, form[0], form[1])
		r.register(fmt.Sprintf("i-endless-%d", i), service, l.Addr().String(), domains[0])
	}
	r.addUpstream("i-calm-0", "calm", domains[0])
	r.addUpstream("i-calm-1", "calm", domains[0])
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Carawaytiller-Request-Id", r.Header.Get("X-Carawaytiller-Request-Id"))
		w.Header().Set("X-Carawaytiller-Server-Stamp", "large")
		_, _ = w.Write(make([]byte, largeAnswer))
	}))
	t.Cleanup(large.Close)
	r.register("i-large", "large", large.Listener.Addr().String(), domains[0])
	r.store.Put("op/config", fmt.Sprintf(`{"Version":1,"Routes":[
{"Name":"all","Host":"h","Prefix":"/all/","RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Gather":[%s],"Attempts":2,"TopK":9,"MinCoverage":0.5},
{"Name":"calm","Host":"h","Prefix":"/calm/","RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":1000,"Service":"calm","Attempts":2},
{"Name":"large","Host":"h","Prefix":"/large/","RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":1000,"Service":"large","Attempts":2}],
"Services":[],"Limits":{"MaxBodyBytes":100000}}`, strings.Join(shards, ",")))
	p := r.newProcess(0, store.Listener.Addr().String())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	require.Eventually(t, p.isReady, 5*time.Second, 10*time.Millisecond, "not ready: %s", processLog{p})
	return p
}

// Many upstreams, or many clients and daemons, send bytes without end at the same time, in heads and in bodies, or many
// clients do not read large answers. The daemon must stay far below its memory limit, and clients of sound upstreams
// must get their answers.
func TestSendersWithoutEndDoNotExhaustMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("a soak run takes several seconds")
	}
	for name, send := range map[string]func(p *process, l *link, n int, until time.Time) int64{
		"Answers": queryEndlessUpstreams, "Requests": sendEndlessRequests, "Readers": readNothing,
	} {
		t.Run(name, func(t *testing.T) {
			p := newEndlessRun(t)
			until := time.Now().Add(endlessFor)
			var asked, answered, sent atomic.Int64
			var clientLink link
			var wg sync.WaitGroup
			for n := range endlessClients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if n%4 != 0 {
						sent.Add(send(p, &clientLink, n, until))
						return
					}
					good, all := queryCalm(p, n, until)
					answered.Add(good)
					asked.Add(all)
				}()
			}
			wg.Wait()
			peak := peakMemory(t, p)
			t.Logf("peak %.0f MB, %d of %d answers of the calm service, %d sent or answered", peak, answered.Load(), asked.Load(), sent.Load())
			require.True(t, p.isReady(), "the daemon has ended")
			require.Less(t, peak, endlessPeak*memoryMB)
			require.GreaterOrEqual(t, float64(answered.Load()), 0.95*float64(asked.Load()))
			require.Positive(t, sent.Load())
		})
	}
}

// queryCalm sends requests to the calm service, and returns how many were answered of how many.
func queryCalm(p *process, n int, until time.Time) (answered, asked int64) {
	client := &http.Client{Timeout: 3 * time.Second}
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		id := fmt.Sprintf("c%d-%d", n, asked)
		asked++
		if status, _, _, err := send(client, p, "GET", "/calm/"+id, id, nil); err == nil && status == http.StatusOK {
			answered++
		}
	}
	return answered, asked
}

// queryEndlessUpstreams sends queries over all services, and returns how many were answered.
func queryEndlessUpstreams(p *process, _ *link, n int, until time.Time) (answered int64) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("c%d-%d", n, i)
		if status, _, _, err := send(client, p, "GET", "/all/"+id, id, nil); err == nil && status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// sendEndlessRequests sends requests without end to all addresses of a daemon, each until the daemon closes the
// connection. Each pauses shortly before the bound of one message, so that many of them are held at a time. It returns
// how many it has begun.
func sendEndlessRequests(p *process, l *link, n int, until time.Time) int64 {
	long := strings.Repeat("x", 64<<10)
	chunk := "10000\r\n" + long + "\r\n"
	const chunked = " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	forms := [][3]string{
		{p.controlAddress, "POST " + executor.GatherPath + chunked, chunk},
		{p.controlAddress, "POST " + executor.ReportPath + chunked, chunk},
		{p.callerAddress, "POST /calm/x HTTP/1.1\r\nHost: h\r\nX-Carawaytiller-Request-Id: e\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		{p.callerAddress, "GET / HTTP/1.1\r\nX-A: ", long},
		{p.readinessAddress, "GET / HTTP/1.1\r\n", "X-A: " + long + "\r\n"},
		{p.controlAddress, "", long},
	}
	return onConnections(until, func(i int) {
		form := forms[(n+i)%len(forms)]
		conn, err := net.DialTimeout("tcp", form[0], time.Second)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(until)
		for writes, data := 1, form[1]; err == nil; writes, data = writes+1, form[2] {
			l.wait(len(data))
			_, err = conn.Write([]byte(data))
			if writes == writesBeforePause {
				time.Sleep(senderPause)
			}
		}
	})
}

// readNothing sends requests for large answers and reads nothing for a while. It returns how many it has sent.
func readNothing(p *process, l *link, n int, until time.Time) int64 {
	return onConnections(until, func(i int) {
		l.wait(largeAnswer)
		conn, err := net.DialTimeout("tcp", p.callerAddress, time.Second)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "GET /large/%d-%d HTTP/1.1\r\nHost: h\r\nX-Carawaytiller-Request-Id: r%d-%d\r\n\r\n", n, i, n, i)
		time.Sleep(senderPause)
	})
}

// onConnections runs use again and again until the given time, connectionsPerSender times at once. It returns how often.
func onConnections(until time.Time, use func(i int)) int64 {
	var wg sync.WaitGroup
	var count atomic.Int64
	for range connectionsPerSender {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) {
				use(int(count.Add(1)))
			}
		}()
	}
	wg.Wait()
	return count.Load()
}
