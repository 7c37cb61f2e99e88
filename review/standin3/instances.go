package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// machine is an instance of the fleet.
type machine struct {
	name, pool, state string
	zone              int
	rack              string
	runner            *runner
}

// instancesHandler serves the list of instances and their orders.
func (f *fleet) instancesHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		out := []map[string]any{}
		for _, m := range f.machines {
			out = append(out, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": zones[m.zone], "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": capacity, "mem_mb": 65536, "gpu": 0}, "id": m.runner.id,
			})
		}
		answerJSON(w, http.StatusOK, map[string]any{"machines": out, "next_token": nil})
	})
	for path, length := range map[string]time.Duration{"/machine-move": 1500 * time.Millisecond, "/machine-upkeep": 2 * time.Second} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o struct {
				Machine string `json:"machine"`
				Pool    string `json:"pool"`
			}
			var fence uint64
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				answerJSON(w, http.StatusBadRequest, map[string]string{})
				return
			}
			_, _ = fmt.Sscan(r.Header.Get("X-Fencing-Token"), &fence)
			f.record.ordered(strings.TrimPrefix(path, "/machine-"), o.Machine, r.Header.Get("X-Duty-Holder"), fence)
			answerJSON(w, f.renew(o.Machine, o.Pool, length), map[string]string{"reason": "busy"})
		})
	}
	return mux
}

// renew ends the runner of an instance and gives it another one, in another pool for a
// move. It returns the status of the answer.
func (f *fleet) renew(name, pool string, length time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		switch {
		case m.name != name:
		case pool != "" && m.pool == pool:
			return http.StatusOK
		case m.state != "up":
			return http.StatusConflict
		default:
			m.state = "moving"
			if pool != "" {
				m.pool = pool
			}
			go m.runner.remove()
			time.AfterFunc(length, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.beginRunner(m, 0)
				m.state = "up"
			})
			return http.StatusOK
		}
	}
	return http.StatusBadRequest
}

// liveRunners returns the current runners of all instances.
func (f *fleet) liveRunners() []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*runner
	for _, m := range f.machines {
		if m.state == "up" {
			out = append(out, m.runner)
		}
	}
	return out
}
