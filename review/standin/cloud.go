package main

import (
	"net/http"
)

// cloud is a stand-in for the platform's list of machines. The cases have no waves, and
// no pool with machines to spare: orders get the answer that the machine is busy, and
// are recorded.
type cloud struct {
	runners []*runner
	ledger  *ledger
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	busy := func(w http.ResponseWriter, r *http.Request) {
		c.ledger.note("order %s of %s is refused: busy", r.URL.Path, r.Header.Get("X-Duty-Holder"))
		answerJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
	}
	mux.HandleFunc("POST /machine-move", busy)
	mux.HandleFunc("POST /machine-upkeep", busy)
	return mux
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	machines := []map[string]any{}
	for _, r := range c.runners {
		state := "up"
		if r.silentFor() > 3*statusInterval {
			state = "down"
		}
		machines = append(machines, map[string]any{
			"machine": "m-" + r.id[2:], "pool": r.service, "state": state, "zone": r.zone, "labels": r.labels,
			"capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMemory, "gpu": 0}, "id": r.id,
		})
	}
	answerJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}
