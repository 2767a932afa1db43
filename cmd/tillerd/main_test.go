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
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// patience bounds each wait of a test.
const patience = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// output collects what the program writes from several goroutines.
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

// file writes a file of the test and returns its name.
func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const goodSettings = `{
	"Name": "vm-1", "Domain": "Burnaby", "Environment": "production", // a comment
	"CallerAddress": "127.0.0.1:0", "OperatorAddress": "127.0.0.1:0", "Seat": 0, "StopMillis": 2000,
}`

// soleDocument returns a document of Guild for one daemon.
func soleDocument(t *testing.T) string {
	t.Helper()
	doc := sampler.Document(sampler.Guild, sampler.SequentialAddresses(netip.MustParseAddr("127.9.0.1"), 1))
	doc.Seats = 1
	text, err := decoder.Encode(doc)
	require.NoError(t, err)
	return string(text)
}

// Guards against a daemon that starts in spite of a fault, and against scripts that cannot tell failures apart.
func TestExitCodes(t *testing.T) {
	settings := file(t, "settings.json", goodSettings)
	faulty := file(t, "faulty.json", "{\n\t\"CallerAddress\": 7,\n}")
	document := file(t, "document.json", soleDocument(t))
	crowded := file(t, "crowded.json", strings.Replace(soleDocument(t), `"Seats": 1`, `"Seats": 8`, 1))
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
		{"broken text", []string{"check", file(t, "x.json", "{")}, exitUsage, "x.json:1:", ""},
		{"run with faulty settings", []string{"run", "--settings", faulty, "--document", document}, exitUsage, faulty + ":2:19: CallerAddress: ", ""},
		{"run with faulty document", []string{"run", "--settings", settings, "--document", faulty}, exitUsage, faulty + ":", ""},
		{"run without peers among others", []string{"run", "--settings", settings, "--document", crowded}, exitFailed, "", "one seat"},
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

// Guards against a daemon that does not serve what its files say, and a stop that is not clean.
func TestRun(t *testing.T) {
	settings := file(t, "settings.json", goodSettings)
	document := file(t, "document.json", soleDocument(t))
	ctx, stop := context.WithCancel(t.Context())
	var stdout, stderr output
	code := make(chan int, 1)
	go func() {
		code <- execute(ctx, []string{"run", "--settings", settings, "--document", document}, &stdout, &stderr)
	}()
	address := ""
	require.Eventually(t, func() bool {
		_, rest, ok := strings.Cut(stderr.String(), `"Callers":"`)
		address, _, _ = strings.Cut(rest, `"`)
		return ok
	}, patience, time.Millisecond)
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
	case <-time.After(patience):
		require.FailNow(t, "the daemon did not stop")
	}
	requireJSONLines(t, stderr.String())
}

// Guards against a demonstration that fails, leaves something behind, or prints something else than its answers.
func TestDemoOnce(t *testing.T) {
	var stdout, stderr output
	require.Equal(t, exitDone, execute(t.Context(), []string{"demo", "--once"}, &stdout, &stderr), stderr.String())
	lines := bufio.NewScanner(strings.NewReader(stdout.String()))
	for _, q := range questions {
		require.True(t, lines.Scan())
		var got shown
		require.NoError(t, json.Unmarshal(lines.Bytes(), &got))
		require.Equal(t, q.Name, got.Question)
	}
	require.False(t, lines.Scan())
	requireJSONLines(t, stderr.String())
}

// Guards against a demonstration that passes with an answer that is wrong or partial.
func TestCompare(t *testing.T) {
	records := sampler.Records(sampler.Guild)
	doc := sampler.Document(sampler.Guild, func(string) string { return "" })
	q := questions[0]
	for name, spoil := range map[string]func(*caller.Answer){
		"":                  func(*caller.Answer) {},
		"snapshot":          func(a *caller.Answer) { a.Snapshot = "other" },
		"covers 11 of 12":   func(a *caller.Answer) { a.Coverage.Answered = 11 },
		"items and not":     func(a *caller.Answer) { a.Items = a.Items[1:] },
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
		spoil(a)
		got := q.compare(records, doc, a)
		if name == "" {
			require.NoError(t, got)
		} else {
			require.ErrorContains(t, got, name, fmt.Sprint(tiller.ReasonInternal))
		}
	}
}
