package verifier_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/verifier"
)

func ExampleCheckStatus() {
	fmt.Println(verifier.CheckStatus(200), verifier.CheckStatus(599))
	fmt.Println(verifier.CheckStatus(0))
	fmt.Println(verifier.CheckStatus(600))
	// Output:
	// <nil> <nil>
	// status 000, want 200 to 599: not the status of a final response
	// status 600, want 200 to 599: not the status of a final response
}

func TestIsInterim(t *testing.T) {
	for _, tt := range []struct {
		response *http.Response
		interim  bool
	}{
		{&http.Response{StatusCode: 100}, true},
		{&http.Response{StatusCode: 199, Header: http.Header{"Content-Length": {"0"}}}, true},
		{&http.Response{StatusCode: 0}, false},
		{&http.Response{StatusCode: 99}, false},
		{&http.Response{StatusCode: 101}, false},
		{&http.Response{StatusCode: 200}, false},
		{&http.Response{StatusCode: 103, Header: http.Header{"Content-Length": {"9"}}}, false},
		{&http.Response{StatusCode: 103, TransferEncoding: []string{"chunked"}}, false},
	} {
		require.Equal(t, tt.interim, verifier.IsInterim(tt.response), "%+v", tt.response)
	}
}

// body records whether it was closed.
type body struct {
	*strings.Reader
	closed bool
}

func (b *body) Close() error {
	b.closed = true
	return nil
}

func TestClientClosesRejectedResponse(t *testing.T) {
	failure := errors.New("no connection")
	for _, tt := range []struct {
		status int
		err    error
		closed bool
	}{{200, nil, false}, {503, nil, false}, {0, verifier.ErrStatus, true}, {101, verifier.ErrStatus, true}, {999, verifier.ErrStatus, true}} {
		b := &body{Reader: strings.NewReader("")}
		client := verifier.New(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: tt.status, Body: b}, nil
		})
		_, err := client.Do(nil)
		require.ErrorIs(t, err, tt.err)
		require.Equal(t, tt.closed, b.closed)
	}
	_, err := verifier.New(func(*http.Request) (*http.Response, error) { return nil, failure }).Do(nil)
	require.ErrorIs(t, err, failure)
}
