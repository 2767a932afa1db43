package commander

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/operator"
)

// daemonOptions say which daemons to ask.
type daemonOptions struct {
	Address []string `long:"address" value-name:"IP:PORT" required:"yes" description:"operator address of a daemon; may be given several times, and the next daemon is asked when one fails"`
	Timeout int64    `long:"timeout" value-name:"MILLIS" default:"5000" description:"time for one request in milliseconds"`
}

// daemon is a client of one daemon.
type daemon struct {
	address string
	*operator.Client
}

// daemons returns the clients of the daemons.
func (o daemonOptions) daemons() ([]daemon, error) {
	client, err := newHTTPClient(o.Timeout)
	if err != nil {
		return nil, err
	}
	var out []daemon
	for _, address := range o.Address {
		url, err := urlOf(address)
		if err != nil {
			return nil, err
		}
		operators, err := operator.NewClient(url, operator.WithClient(client))
		if err != nil {
			return nil, badInput(err)
		}
		out = append(out, daemon{address: address, Client: operators})
	}
	return out, nil
}

// newHTTPClient returns a client whose requests end after a time in milliseconds.
// It connects directly, whatever proxy the environment names.
func newHTTPClient(millis int64) (*http.Client, error) {
	if millis < 1 {
		return nil, badInput(errors.Errorf("a time of %d ms is less than 1 ms", millis))
	}
	timeout := time.Duration(millis) * time.Millisecond
	return &http.Client{Transport: &http.Transport{}, Timeout: timeout}, nil
}

// urlOf returns the URL of a daemon's address.
func urlOf(address string) (string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", badInput(errors.Wrap(err, "address"))
	}
	return "http://" + address, nil
}

// firstReply asks the daemons in turn until one replies, and returns its reply or all errors.
func firstReply[T any](ctx context.Context, daemons []daemon, ask func(context.Context, daemon) (T, error)) (T, error) {
	var failed []error
	for _, d := range daemons {
		reply, err := ask(ctx, d)
		if err == nil {
			return reply, nil
		}
		failed = append(failed, errors.Wrap(err, d.address))
	}
	var none T
	return none, errors.Join(failed...)
}

// wasNotSent says whether err means that no connection was made, so that nothing was sent.
func wasNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusal returns the error for a refusal of a daemon.
func refusal(e *operator.ErrorStatusCode) error {
	r := e.Response
	if r.Detail.Value == "" {
		return errors.Errorf("refused: %s %s", r.Verdict, r.Reason)
	}
	return errors.Errorf("refused: %s %s: %s", r.Verdict, r.Reason, r.Detail.Value)
}
