package server

import (
	"net/http"

	tiller "github.com/carawaytiller/carawaytiller"
)

// reasonStatuses maps each reason whose HTTP status does not depend on the verdict to that status.
var reasonStatuses = map[tiller.Reason]int{
	tiller.ReasonBadRequest:       http.StatusBadRequest,
	tiller.ReasonDeadlinePast:     http.StatusBadRequest,
	tiller.ReasonDeadlineTooShort: http.StatusBadRequest,
	tiller.ReasonTokenRequired:    http.StatusBadRequest,
	tiller.ReasonTokenUnknown:     http.StatusBadRequest,
	tiller.ReasonTokenExpired:     http.StatusBadRequest,
	tiller.ReasonUnknownService:   http.StatusNotFound,
	tiller.ReasonDuplicateID:      http.StatusConflict,
	tiller.ReasonTokenInUse:       http.StatusConflict,
	tiller.ReasonTokenIssuerGone:  http.StatusGone,
	tiller.ReasonHarmful:          http.StatusUnprocessableEntity,
	tiller.ReasonQueueFull:        http.StatusTooManyRequests,
	tiller.ReasonQueueTimeout:     http.StatusTooManyRequests,
	tiller.ReasonInternal:         http.StatusInternalServerError,
}

// statusOf returns the HTTP status of a refusal. A reason that is not in reasonStatuses has 503 with the verdict NotRun,
// else 504.
func statusOf(r *tiller.Refusal) int {
	if status, ok := reasonStatuses[r.Reason]; ok {
		return status
	}
	if r.Verdict == tiller.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
