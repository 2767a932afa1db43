package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// TestMain fails if the program leaks a goroutine.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startProgram runs the program and returns its addresses. At the end of the test it cancels the program's
// context and requires exit code 0 and a log of JSON lines.
func startProgram(t *testing.T, args ...string) addresses {
	ctx, interrupt := context.WithCancel(context.Background())
	out, in := io.Pipe()
	var log bytes.Buffer
	code := make(chan int, 1)
	go func() {
		code <- run(ctx, args, in, &log)
		_ = in.Close()
	}()
	t.Cleanup(func() {
		interrupt()
		require.Equal(t, exitStopped, <-code)
		http.DefaultClient.CloseIdleConnections()
		for _, line := range strings.Split(strings.TrimSpace(log.String()), "\n") {
			require.True(t, json.Valid([]byte(line)), line)
		}
	})
	var a addresses
	require.NoError(t, json.NewDecoder(out).Decode(&a))
	return a
}

// control sends a request to the control address, requires a status below 300 and returns the body.
func control(t *testing.T, method, address, path, body string) string {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Less(t, res.StatusCode, 300, string(answer))
	return string(answer)
}

// TestStore guards against a store that ignores the program's options or the faults set at its control address.
func TestStore(t *testing.T) {
	a := startProgram(t, "store", "--writes", "1")
	c, err := platform.NewClient("http://" + a.Store)
	require.NoError(t, err)
	ctx := context.Background()
	_, err = c.GrantLease(ctx, &platform.LeaseGrant{TTLMillis: 1})
	require.NoError(t, err)
	_, err = c.GrantLease(ctx, &platform.LeaseGrant{TTLMillis: 1})
	require.ErrorContains(t, err, "RateLimited")
	control(t, "PUT", a.Control, "/fault", `{"Outage": true}`)
	_, err = c.GetKey(ctx, platform.GetKeyParams{Key: "k"})
	require.ErrorContains(t, err, "Unavailable")
}

// TestVMs guards against a lag that delays the VMs given by --vm, and against later changes that show without
// the lag.
func TestVMs(t *testing.T) {
	a := startProgram(t, "vms", "--lag", "60000", "--vm", "a,127.0.0.1:1,Kelowna")
	c, err := platform.NewClient("http://" + a.VMs)
	require.NoError(t, err)
	control(t, "DELETE", a.Control, "/vms/a", "")
	list, err := c.ListVMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{{Name: "a", Address: "127.0.0.1:1", Domain: "Kelowna"}}, list.VMs)
}

// TestUpstream guards against an upstream whose control address stops answering once the fault Silent is set.
func TestUpstream(t *testing.T) {
	a := startProgram(t, "upstream", "--name", "u1", "--shard", "s1", "--shard", "s2", "--items", "3")
	c, err := upstream.NewClient("http://" + a.Upstreams["u1"])
	require.NoError(t, err)
	r := &upstream.SearchRequest{
		ID: "r1", Service: "bulletin", Snapshot: "n1", Shards: []string{"s2"},
		Route: "search", Body: []byte("{}"), Limit: 2, DeadlineMillis: 5000,
	}
	res, err := c.Search(context.Background(), r)
	require.NoError(t, err)
	require.Len(t, res.(*upstream.SearchResponse).Shards[0].Items, 2)
	control(t, "PUT", a.Control, "/fault", `{"Silent": true}`)
	control(t, "PUT", a.Control, "/fault", `{"Draining": true}`)
	require.JSONEq(t, `{"r1": 1}`, control(t, "GET", a.Control, "/runs/search", ""))
	http.DefaultClient.CloseIdleConnections()
	res, err = c.Search(context.Background(), r)
	require.NoError(t, err)
	require.Equal(t, upstream.SearchErrorReasonDraining, res.(*upstream.SearchErrorStatusCode).Response.Reason)
}

// TestAll guards against upstreams of a document that are not started, serve other shards than the document
// states, or cannot be controlled under their own path.
func TestAll(t *testing.T) {
	written := filepath.Join(t.TempDir(), "running.json")
	a := startProgram(t, "all", "--document", "../../examples/guild.json", "--write", written, "--service-time", "1")
	text, err := os.ReadFile(written)
	require.NoError(t, err)
	doc, faults := decoder.DecodeDocument(written, text)
	require.Empty(t, faults)
	require.Len(t, a.Upstreams, len(doc.Upstreams))
	require.Len(t, doc.Upstreams, 113)

	service, ok := doc.Service("label-printer")
	require.True(t, ok)
	snapshot, ok := service.Snapshot(service.Current)
	require.True(t, ok)
	shard := snapshot.Shards[0]
	for _, u := range doc.Upstreams {
		require.Equal(t, u.Address, a.Upstreams[u.Name])
		c, err := upstream.NewClient("http://" + u.Address)
		require.NoError(t, err)
		res, err := c.Search(context.Background(), &upstream.SearchRequest{
			ID: "r1", Service: service.Name, Snapshot: snapshot.Name, Shards: []string{shard.Name},
			Route: "search", Body: []byte(`{"Terms": ["sesame"]}`), Limit: 2, DeadlineMillis: 5000,
		})
		require.NoError(t, err)
		_, answered := res.(*upstream.SearchResponse)
		require.Equal(t, slices.Contains(shard.Upstreams, u.Name), answered, u.Name)
	}
	first := shard.Upstreams[0]
	require.JSONEq(t, `{"r1": 1}`, control(t, "GET", a.Control, "/upstreams/"+first+"/runs/search", ""))

	control(t, "POST", a.Control, "/list/vms", `{"Name": "a", "Address": "127.0.0.1:1", "Domain": "Kelowna", "Leaving": false}`)
	c, err := platform.NewClient("http://" + a.Platform)
	require.NoError(t, err)
	list, err := c.ListVMs(context.Background())
	require.NoError(t, err)
	require.Len(t, list.VMs, 1)
	control(t, "PUT", a.Control, "/store/fault", `{"Outage": true}`)
	_, err = c.GetKey(context.Background(), platform.GetKeyParams{Key: "k"})
	require.ErrorContains(t, err, "Unavailable")
}

// TestExitCodes guards against failures with the exit code of a normal stop, and against a log that is not JSON.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		code   int
		stdout string
	}{
		{"help", []string{"--help"}, exitStopped, "Exit codes"},
		{"help of a sub-command", []string{"store", "--help"}, exitStopped, "(default: 400)"},
		{"no sub-command", nil, exitUsage, ""},
		{"unknown option", []string{"store", "--wites", "3"}, exitUsage, ""},
		{"wrong value", []string{"vms", "--vm", "a"}, exitUsage, ""},
		{"not a loopback address", []string{"store", "--listen", "0.0.0.0:0"}, exitFailed, ""},
		{"no document", []string{"all"}, exitUsage, ""},
		{"document file that holds none", []string{"all", "--document", "main.go"}, exitFailed, ""},
		{"no slots", []string{"upstream", "--slots", "0"}, exitFailed, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var stdout, stderr bytes.Buffer
			require.Equal(t, tt.code, run(ctx, tt.args, &stdout, &stderr))
			require.Contains(t, strings.Join(strings.Fields(stdout.String()), " "), tt.stdout)
			if tt.code != exitStopped {
				require.Empty(t, stdout.String())
				require.True(t, json.Valid(bytes.TrimSpace(stderr.Bytes())), stderr.String())
			}
		})
	}
}
