// Package verifier rejects HTTP responses whose status is not that of a final response. A faulty server may send such a
// status with a body that looks like an answer.
package verifier

import (
	"net/http"

	"github.com/go-faster/errors"
)

// Statuses of final responses.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// ErrStatus means that the status of a response is not that of a final response.
var ErrStatus = errors.New("not the status of a final response")

// CheckStatus returns an ErrStatus unless the status is that of a final response, 200 to 599. Interim responses
// must have been skipped before.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrStatus, "status %03d, want %d to %d", status, minStatus, maxStatus)
	}
	return nil
}

// IsInterim reports whether a response is an interim one, which another response follows. A response with status 101
// is none, because the connection then speaks another protocol. Neither is one that declares a body, which an interim
// response cannot have.
func IsInterim(resp *http.Response) bool {
	if resp.StatusCode < 100 || resp.StatusCode >= minStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) == 0 && (length == "" || length == "0")
}

// Client sends requests like an http.Client, and fails if the status of the response is not that of a final one.
type Client struct {
	do func(*http.Request) (*http.Response, error)
}

// New returns a Client that sends requests with do.
func New(do func(*http.Request) (*http.Response, error)) *Client { return &Client{do: do} }

// Do sends a request. It returns an ErrStatus, without reading the body, for a status that CheckStatus rejects.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.do(r)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		// The error of Close is ignored: the response is not used.
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
