package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/faker"
	"github.com/carawaytiller/carawaytiller/issuer"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// waitTimeout is the time limit of each wait in a test.
const waitTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// output is a buffer that may be written and read concurrently.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// writeFile writes text to a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const validSettings = `{
	"Name": "vm-1", "Domain": "Burnaby", "Environment": "production", // a comment
	"CallerAddress": "127.0.0.1:0", "OperatorAddress": "127.0.0.1:0", "Seat": 0, "StopMillis": 2000,
}`

// singleSeatDocument returns the Guild sample document with one seat.
func singleSeatDocument(t *testing.T) string {
	t.Helper()
	doc := sampler.Document(sampler.Guild, sampler.SequentialAddresses(netip.MustParseAddr("127.9.0.1"), 1))
	doc.Seats = 1
	text, err := decoder.Encode(doc)
	require.NoError(t, err)
	return string(text)
}

// Guards against a daemon that starts with faulty files, and against exit codes that do not tell
// wrong usage from other failures.
func TestExitCodes(t *testing.T) {
	settings := writeFile(t, "settings.json", validSettings)
	faulty := writeFile(t, "faulty.json", "{\n\t\"CallerAddress\": 7,\n}")
	document := writeFile(t, "document.json", singleSeatDocument(t))
	eightSeats := writeFile(t, "eight-seats.json", strings.Replace(singleSeatDocument(t), `"Seats": 1`, `"Seats": 8`, 1))
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"help", []string{"--help"}, exitDone, "Exit codes", ""},
		{"help of a sub-command", []string{"run", "--help"}, exitDone, "--settings", ""},
		{"version", []string{"--version"}, exitDone, "tillerd ", ""},
		{"no sub-command", nil, exitUsage, "", "wrong usage"},
		{"unknown option", []string{"run", "--setings", "x"}, exitUsage, "", "wrong usage"},
		{"nothing to check", []string{"check"}, exitUsage, "", "wrong usage"},
		{"no such file", []string{"check", "nowhere.json"}, exitFailed, "", "nowhere.json"},
		{"good files", []string{"check", settings, document}, exitDone, "", ""},
		{"faulty settings", []string{"check", document, faulty}, exitUsage, faulty + ":2:19: CallerAddress: ", ""},
		{"broken text", []string{"check", writeFile(t, "x.json", "{")}, exitUsage, "x.json:1:", ""},
		{"run with faulty settings", []string{"run", "--settings", faulty, "--document", document}, exitUsage, faulty + ":2:19: CallerAddress: ", ""},
		{"run with faulty document", []string{"run", "--settings", settings, "--document", faulty}, exitUsage, faulty + ":", ""},
		{"run without a document", []string{"run", "--settings", settings}, exitFailed, "", "needs --document"},
		{"run without peers, document with eight seats", []string{"run", "--settings", settings, "--document", eightSeats}, exitFailed, "", "one seat"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var stdout, stderr output
			require.Equal(t, test.code, execute(ctx, test.args, &stdout, &stderr), "%s%s", &stdout, &stderr)
			require.Contains(t, stdout.String(), test.stdout)
			require.Contains(t, stderr.String(), test.stderr)
			requireJSONLines(t, stderr.String())
		})
	}
}

func requireJSONLines(t *testing.T, text string) {
	t.Helper()
	for line := range strings.Lines(text) {
		require.True(t, json.Valid([]byte(line)), line)
	}
}

// Guards against a daemon that ignores its settings or document, and against a stop that is late or fails.
func TestRun(t *testing.T) {
	settings := writeFile(t, "settings.json", validSettings)
	document := writeFile(t, "document.json", singleSeatDocument(t))
	ctx, stop := context.WithCancel(t.Context())
	var stdout, stderr output
	code := make(chan int, 1)
	go func() {
		code <- execute(ctx, []string{"run", "--settings", settings, "--document", document}, &stdout, &stderr)
	}()
	address := awaitLogField(t, &stderr, `"Callers":"`)
	body := `{"ID":"q","Caller":"c","Service":"recipe-desk-01","Route":"search","Body":{},"DeadlineMillis":300}`
	resp, err := http.Post("http://"+address+"/v1/query", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	var refusal caller.Refusal
	require.NoError(t, refusal.UnmarshalJSON(text))
	require.Equal(t, caller.RefusalVerdictNotRun, refusal.Verdict, "no upstream listens")
	http.DefaultClient.CloseIdleConnections()
	stop()
	select {
	case got := <-code:
		require.Equal(t, exitDone, got, stderr.String())
	case <-time.After(waitTimeout):
		require.FailNow(t, "the daemon did not stop")
	}
	requireJSONLines(t, stderr.String())
}

// Guards against two daemons that do not form a fleet through their settings and the store: both must
// become ready after a document is written through one of them.
func TestRunMembers(t *testing.T) {
	fakes, err := faker.NewPlatform(faker.StoreSettings{}, tiller.SystemClock())
	require.NoError(t, err)
	store, err := fakes.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer fakes.Close()
	authority, err := issuer.NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	logs, codes := make([]output, 2), make(chan int, 2)
	for i := range logs {
		name := fmt.Sprint("vm-", i)
		fakes.VMs.Register(platform.VM{Name: name})
		pair, err := authority.Issue(name, time.Now(), time.Hour)
		require.NoError(t, err)
		settings := writeFile(t, "settings.json", fmt.Sprintf(`{
			"Name": %q, "Domain": "Burnaby", "Environment": "production", "StopMillis": 5000,
			"CallerAddress": "127.0.0.1:0", "OperatorAddress": "127.0.0.1:0", "PeerAddress": "127.0.0.1:0",
			"PlatformAddresses": ["127.9.9.9:1", %q], "CertificateFile": %q, "KeyFile": %q, "AuthorityFile": %q}`,
			name, store, writeFile(t, "c.pem", string(pair.Certificate)), writeFile(t, "k.pem", string(pair.Key)),
			writeFile(t, "a.pem", string(authority.Pair().Certificate))))
		go func() { codes <- execute(ctx, []string{"run", "--settings", settings}, io.Discard, &logs[i]) }()
	}
	var operators []string
	for i := range logs {
		operators = append(operators, awaitLogField(t, &logs[i], `"Operators":"`))
	}
	body, err := json.Marshal(map[string]any{
		"Operation": "first", "Operator": "op", "ExpectedRevision": 0,
		"Text": strings.Replace(singleSeatDocument(t), `"Seats": 1`, `"Seats": 2`, 1),
	})
	require.NoError(t, err)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+operators[1]+"/v1/document/production", bytes.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/json")
	require.Eventually(t, func() bool {
		resp, err := http.DefaultClient.Do(r.Clone(t.Context()))
		if err != nil {
			return false
		}
		resp.Body.Close()
		r.Body, _ = r.GetBody()
		return resp.StatusCode == http.StatusOK
	}, waitTimeout, 100*time.Millisecond)
	for i := range operators {
		require.Eventually(t, func() bool {
			resp, err := http.Get("http://" + operators[i] + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, waitTimeout, 10*time.Millisecond, "%s", &logs[i])
	}
	http.DefaultClient.CloseIdleConnections()
	stop()
	for i := range logs {
		require.Equal(t, exitDone, <-codes, "%s", &logs[i])
	}
}

// awaitLogField waits until a log contains field and returns the text after it up to the next quote.
func awaitLogField(t *testing.T, log *output, field string) string {
	t.Helper()
	value := ""
	require.Eventually(t, func() bool {
		_, rest, ok := strings.Cut(log.String(), field)
		value, _, _ = strings.Cut(rest, `"`)
		return ok
	}, waitTimeout, time.Millisecond)
	return value
}

// Guards against a demonstration that fails, leaks goroutines or prints anything but its answers.
func TestDemoOnce(t *testing.T) {
	var stdout, stderr output
	require.Equal(t, exitDone, execute(t.Context(), []string{"demo", "--once"}, &stdout, &stderr), stderr.String())
	lines := bufio.NewScanner(strings.NewReader(stdout.String()))
	for _, q := range questions {
		require.True(t, lines.Scan())
		var got printedAnswer
		require.NoError(t, json.Unmarshal(lines.Bytes(), &got))
		require.Equal(t, q.Name, got.Question)
	}
	require.False(t, lines.Scan())
	requireJSONLines(t, stderr.String())
}

// Guards against a demonstration that accepts a wrong or partial answer.
func TestCompare(t *testing.T) {
	records := sampler.Records(sampler.Guild)
	doc := sampler.Document(sampler.Guild, func(string) string { return "" })
	q := questions[0]
	for name, corrupt := range map[string]func(*caller.Answer){
		"":                  func(*caller.Answer) {},
		"snapshot":          func(a *caller.Answer) { a.Snapshot = "other" },
		"covers 11 of 12":   func(a *caller.Answer) { a.Coverage.Answered = 11 },
		"items, want":       func(a *caller.Answer) { a.Items = a.Items[1:] },
		"item 1 is changed": func(a *caller.Answer) { a.Items[1].Key = "changed" },
		"item 0 is":         func(a *caller.Answer) { a.Items[0].Body = []byte("{}") },
		"item 2 is":         func(a *caller.Answer) { a.Items[2].Score++ },
	} {
		items, err := sampler.Search(records, q.Service, "2026-03-01", "", []byte(q.Body), answerLimit)
		require.NoError(t, err)
		a := &caller.Answer{Snapshot: "2026-03-01", Coverage: caller.Coverage{Asked: 12, Answered: 12}}
		for _, item := range items {
			a.Items = append(a.Items, caller.Item{Key: item.Key, Score: item.Score, Body: item.Body})
		}
		corrupt(a)
		got := q.compare(records, doc, a)
		if name == "" {
			require.NoError(t, got)
		} else {
			require.ErrorContains(t, got, name, fmt.Sprint(tiller.ReasonInternal))
		}
	}
}
