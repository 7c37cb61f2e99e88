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

const (
	storeDelay   = 4 * time.Millisecond
	txDuration   = 5 * time.Millisecond
	maxStoreRows = 500
	// rowBytes is the size of the largest value, row_bytes in the settings.
	rowBytes = 65536
)

type rowKey struct{ table, part, key string }

// storeRow is a row in the encoding of the store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r *storeRow) name() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store plays the platform's store. Use newStore.
type store struct {
	began time.Time

	mu        sync.Mutex
	rows      map[rowKey]storeRow
	version   uint64
	history   []storeRow
	partLocks map[string]*sync.Mutex
	// changed is closed and replaced with each transaction.
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]storeRow{}, partLocks: map[string]*sync.Mutex{}, changed: make(chan struct{})}
}

// write writes a row, or removes it if value is nil, as the operator or a runner does.
func (s *store) write(table, key string, value any) {
	row := storeRow{Table: table, Key: key, Removed: value == nil}
	if value != nil {
		row.Value, _ = json.Marshal(value) // the values are maps of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row)
	s.notify()
}

// apply applies a change with the current version. The caller holds the lock.
func (s *store) apply(row storeRow) {
	row.Version = s.version
	if row.Removed {
		delete(s.rows, row.name())
	} else {
		s.rows[row.name()] = row
	}
	s.history = append(s.history, row)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store to one entry. view rewrites the values that the entry reads,
// so that the addresses in them lead over the entry's own links.
func (s *store) handler(view func(storeRow) storeRow) http.Handler {
	v := &storeView{s, view}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", v.commit)
	mux.HandleFunc("GET /rows-get", v.get)
	mux.HandleFunc("GET /rows-parts", v.parts)
	mux.HandleFunc("GET /rows-feed", v.feed)
	return mux
}

// storeView is the store as one entry reads it.
type storeView struct {
	*store
	view func(storeRow) storeRow
}

func (s *storeView) answer(w http.ResponseWriter, status int, rows []storeRow, body map[string]any) {
	if rows != nil {
		for i := range rows {
			rows[i] = s.view(rows[i])
		}
		body["rows"] = rows
	}
	body["now_ms"] = time.Since(s.began).Milliseconds()
	answerJSON(w, status, body)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

// transaction is the body of a transaction. All its rows are in one part.
type transaction struct {
	Expected []storeRow `json:"expected"`
	Puts     []storeRow `json:"puts"`
	Remove   []storeRow `json:"remove"`
}

func (t *transaction) part() string {
	for _, rows := range [][]storeRow{t.Expected, t.Puts, t.Remove} {
		if len(rows) > 0 {
			return rows[0].Part
		}
	}
	return ""
}

func (s *store) lockPart(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partLocks[part] == nil {
		s.partLocks[part] = &sync.Mutex{}
	}
	return s.partLocks[part]
}

func (s *storeView) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	for _, row := range tx.Puts {
		if len(row.Value) > rowBytes {
			answerJSON(w, http.StatusBadRequest, map[string]string{"error": "a value is too large"})
			return
		}
	}
	part := s.lockPart(tx.part())
	part.Lock()
	defer part.Unlock()
	time.Sleep(txDuration)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []storeRow{}, true
	for _, e := range tx.Expected {
		row, exists := s.rows[e.name()]
		if exists {
			current = append(current, row)
		}
		holds = holds && row.Version == e.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, map[string]any{"ver": s.version})
		return
	}
	s.version++
	for _, row := range tx.Puts {
		s.apply(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value})
	}
	for _, row := range tx.Remove {
		if _, exists := s.rows[row.name()]; exists {
			s.apply(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Removed: true})
		}
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, map[string]any{"ver": s.version})
}

func (s *storeView) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit := maxStoreRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxStoreRows)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") &&
			(q.Get("target") == "" || name.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], map[string]any{"has_more": more, "ver": s.version})
}

func (s *storeView) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for name := range s.rows {
		if name.table == q.Get("table") && name.part > q.Get("after") {
			parts = append(parts, name.part)
		}
	}
	slices.Sort(parts)
	s.answer(w, http.StatusOK, nil, map[string]any{"parts": slices.Compact(parts), "has_more": false, "ver": s.version})
}

func (s *storeView) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := wait == 0; ; {
		rows, version, changed := s.changesOf(q.Get("table"), after)
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, rows, map[string]any{"ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesOf returns the changes of a table after a version, the version up to which they
// are complete, and a channel that is closed by the next change of any table.
func (s *store) changesOf(table string, after uint64) ([]storeRow, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(row storeRow, version uint64) int {
		return int(row.Version) - int(version)
	})
	for _, row := range s.history[first:] {
		if row.Table != table {
			continue
		}
		if len(rows) >= maxStoreRows && row.Version != rows[len(rows)-1].Version {
			return rows, rows[len(rows)-1].Version, s.changed
		}
		rows = append(rows, row)
	}
	return rows, s.version, s.changed
}
