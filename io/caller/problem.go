package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"bronzestair/core/entry"
	"bronzestair/core/verdict"
	"bronzestair/io/intake"
)

// problem is a problem document (RFC 9457).
type problem struct {
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Reason  string          `json:"reason"`
	Verdict verdict.Verdict `json:"verdict"`
}

func newProblem(status int, format string, args ...any) *problem {
	return &problem{
		Title:  http.StatusText(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Reason: "badRequest",
	}
}

func badRequest(format string, args ...any) *problem {
	return newProblem(http.StatusBadRequest, format, args...)
}

// rejectionProblem returns the problem document for a request that was rejected before it
// was parsed.
func rejectionProblem(r *intake.Rejection) *problem { return newProblem(r.Status, "%s", r.Detail) }

// refusalProblem returns the problem document for a request that the reducer refused.
func refusalProblem(reason entry.Reason, v verdict.Verdict) *problem {
	status := statusOf(reason)
	return &problem{
		Title:   http.StatusText(status),
		Status:  status,
		Reason:  reason.String(),
		Verdict: v,
	}
}

func statusOf(reason entry.Reason) int {
	switch reason {
	case entry.UnknownService:
		return http.StatusNotFound
	case entry.DeadlineReached:
		return http.StatusGatewayTimeout
	case entry.AnswerBroken:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// retryAfterSeconds is the value of the Retry-After header of 503 responses.
const retryAfterSeconds = "1"

// write sends the problem document as the response.
func (p *problem) write(w http.ResponseWriter) error {
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderVerdict, p.Verdict.String())
	if p.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(p.Status)
	_, err = w.Write(body)
	return err
}
