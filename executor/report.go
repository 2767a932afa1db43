package executor

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// ReportPath is the URL path at which daemons accept the reports of other daemons.
const ReportPath = "/v1/report"

// reportTimeout bounds an exchange of reports. A daemon that takes longer is not fit to collect evidence.
const reportTimeout = 400 * tiller.Millis(1)

// sendReport sends a report to another daemon, and feeds in its reply or the failure.
func (x *Executor) sendReport(e gatherer.SendReport) {
	reply, err := x.exchangeReport(e)
	if err != nil {
		x.Step(gatherer.ReportLost{VM: e.Member.VM})
		return
	}
	x.Step(gatherer.ReportReceived{Report: reply})
}

func (x *Executor) exchangeReport(e gatherer.SendReport) (gatherer.Report, error) {
	var reply gatherer.Report
	body, err := cbor.Marshal(e.Report)
	if err != nil {
		return reply, errors.Wrap(err, "encode report")
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout.Duration())
	defer cancel()
	resp, failure := x.client.Do(ctx, forwarder.Request{
		Address: e.Member.Address, Key: ReportPath, Method: http.MethodPost, URI: ReportPath, Host: e.Member.Address,
		Header: http.Header{}, Body: body,
	})
	defer resp.Holding.Release()
	if failure != nil {
		return reply, failure
	}
	if resp.Status != http.StatusOK {
		return reply, errors.Errorf("daemon at %s answered the report with status %d, want 200", e.Member.Address, resp.Status)
	}
	return reply, errors.Wrap(cbor.Unmarshal(resp.Body, &reply), "decode report")
}

// ReceiveReport feeds in the report of another daemon and returns this daemon's own.
func (x *Executor) ReceiveReport(r gatherer.Report) gatherer.Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.step(gatherer.ReportReceived{Report: r})
	return x.state.Report(x.clock.Now())
}
