package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxRows is the most rows of one response.
const maxRows = 500

type rowName struct{ table, part, key string }

// row is a row in the encoding of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r *row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// store stands in for the platform's store. It keeps all rows and the whole history of
// changes in memory.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	version uint64
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

// write writes a row of the operator or a runner, or removes it if value is nil.
func (s *store) write(table, key string, value any) {
	r := row{Table: table, Key: key, Removed: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value) // the values are maps of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(r)
	s.notify()
}

// apply applies a change with the current version. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	if r.Removed {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, r)
}

// notify wakes the feeds. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a row in the part with the empty name, or "".
func (s *store) value(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowName{table, "", key}].Value)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// respond writes a response in JSON. The caller may be gone, so errors are ignored.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// respondRows writes a response about rows. The caller holds the lock.
func (s *store) respondRows(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["now_ms"] = time.Since(s.began).Milliseconds()
	respond(w, status, body)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, e := range tx.Expected {
		stored, exists := s.rows[e.name()]
		if exists {
			current = append(current, stored)
		}
		holds = holds && stored.Version == e.Version
	}
	if !holds {
		s.respondRows(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range tx.Remove {
		if _, exists := s.rows[p.name()]; exists {
			s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Removed: true})
		}
	}
	s.notify()
	s.respondRows(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for n, stored := range s.rows {
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") &&
			(q.Get("target") == "" || n.key < q.Get("target")) {
			rows = append(rows, stored)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > maxRows
	s.respondRows(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), maxRows)], "has_more": more})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for n := range s.rows {
		if n.table == q.Get("table") && n.part > q.Get("after") {
			names[n.part] = true
		}
	}
	parts := []string{}
	for n := range names {
		parts = append(parts, n)
	}
	slices.Sort(parts)
	s.respondRows(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if s.history[i].Table == q.Get("table") {
				rows = append(rows, s.history[i])
			}
		}
		if len(rows) > 0 || waitMS == 0 {
			slices.Reverse(rows)
			s.respondRows(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}
