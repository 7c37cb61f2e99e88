package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/pool"
)

const explainedJob = `{"spec":"x","steps":[{"count":3,"cpu":500,"mem_mb":64,"est_runtime_ms":100}]}`

// fakeEntry answers explanations like the entry that owns the pool, and fails the test if it does
// not receive the job.
func fakeEntry(t *testing.T) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != explainedJob {
			t.Errorf("body %q, error %v, want the job", body, err)
		}
		if diff := cmp.Diff("host=jobs.example&organisation=lodge&path=%2Fseats%2F", r.URL.RawQuery); diff != "" {
			t.Errorf("parameters (-want +got):\n%s", diff)
		}
		if err := json.NewEncoder(w).Encode(&pool.Explanation{Pool: "booking", Steps: []pool.StepExplanation{
			{
				Tasks: 3, Placed: 2, Runners: []pool.RunnerPortion{{Runner: "r1", Tasks: 2}},
				Elsewhere: []pool.ObstacleCount{{Obstacle: pool.ObstacleRoom, Runners: 4, Examples: []pool.RunnerID{"r1", "r2", "r3"}}},
			},
			{Step: 1, Tasks: 1, After: []int{0}, Waits: pool.ObstacleTicket},
		}}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// explainRequestTo returns a request to a server, about a job in a file.
func explainRequestTo(t *testing.T, server *httptest.Server) *explainRequest {
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(explainedJob), 0o600); err != nil {
		t.Fatal(err)
	}
	return &explainRequest{address: server.Listener.Addr().String(), host: "jobs.example", path: "/seats/", organisation: "lodge", jobFile: file}
}

// TestExplainPrintsTable checks the text for an operator.
func TestExplainPrintsTable(t *testing.T) {
	var out strings.Builder
	if err := explain(t.Context(), &out, explainRequestTo(t, fakeEntry(t))); err != nil {
		t.Fatal(err)
	}
	const want = `pool booking
The pool's owner is new: some runners have not answered yet.
STEP  TASKS  START NOW  ON RUNNERS  WAITS FOR
0     3      2          r1:2        a runner
1     1      0          none        steps [0], ticket
step 0: not on 4 runners: room (r1, r2, r3, ...)
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

// TestExplainFollowsOwner guards against a job that is lost on the way to the entry that owns the
// pool.
func TestExplainFollowsOwner(t *testing.T) {
	owner := fakeEntry(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, owner.URL+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	}))
	defer other.Close()
	r := explainRequestTo(t, other)
	r.asJSON = true
	var out strings.Builder
	if err := explain(t.Context(), &out, r); err != nil {
		t.Fatal(err)
	}
	var e pool.Explanation
	if err := json.Unmarshal([]byte(out.String()), &e); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, len(e.Steps)); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}

// TestExplainReportsRefusal guards against a refusal that is printed as an empty explanation.
func TestExplainReportsRefusal(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		if _, err := io.WriteString(w, `{"reason":"no such queue"}`); err != nil {
			t.Error(err)
		}
	}))
	defer refusing.Close()
	var out strings.Builder
	err := explain(t.Context(), &out, explainRequestTo(t, refusing))
	if err == nil || !strings.Contains(err.Error(), "no such queue") || out.Len() > 0 {
		t.Errorf("error = %v, output %q, want an error with the reason and no output", err, out.String())
	}
}
