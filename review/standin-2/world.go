package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// step is a step of a submission, and how its work units behave on a runner.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	EstRuntime  int    `json:"est_runtime_ms,omitempty"`
	Persistent  bool   `json:"persistent,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
	MaxPerSrv   int    `json:"max_per_server,omitempty"`
	Needs       string `json:"needs,omitempty"`
	Image       string `json:"image,omitempty"`
	Speculative bool   `json:"speculative,omitempty"`

	// takes is the time that a work unit works, unless it lasts.
	takes time.Duration
	// fails returns how long after its start a run of a work unit ends failed, 0 for never.
	fails func(unit string, run int) time.Duration
}

// submission is a submission of a consumer.
type submission struct {
	id    string
	what  string
	steps []*step

	acceptedAt  time.Time
	cancelledAt time.Time
}

func (s *submission) units() []string {
	var out []string
	for n, st := range s.steps {
		for i := range st.Count {
			out = append(out, fmt.Sprintf("%s.0.%d.%d", s.id, n, i))
		}
	}
	return out
}

// machine is a machine of a pool.
type machine struct {
	name, service, zone, rack string
	state                     string
	runner                    *runner
	// waves holds the waves in which the machine has begun its upkeep.
	waves map[int]bool
}

// world is a small deployment: a store, the list of machines, runners, and entries.
type world struct {
	record  *record
	store   *store
	dir     string
	host    string
	prefix  string
	entries []*entry

	mu          sync.Mutex
	machines    []*machine
	lastRunner  int
	submissions map[string]*submission
}

// entry is a process of the system.
type entry struct {
	name, front string
	settings    string
	command     *exec.Cmd
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const service = "booking"

// upkeepTime is how long a machine is down for its upkeep, upkeep_s.
const upkeepTime = 2 * time.Second

// newWorld starts the stand-ins of a deployment with one pool of runners.
func newWorld(rec *record, runners, cpu, memory int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, store: newStore(), dir: dir, host: "desk.example", prefix: "/holds/", submissions: map[string]*submission{}}
	w.store.write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "holds", "host": w.host, "path_prefix": w.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"service": service, "priority": 0, "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for n := range runners {
		m := &machine{name: fmt.Sprintf("m%d", n+1), service: service, zone: zones[n%len(zones)], rack: fmt.Sprintf("r%d", n/4+1), waves: map[int]bool{}}
		if err := w.startRunner(m, cpu, memory); err != nil {
			return nil, err
		}
		w.machines = append(w.machines, m)
	}
	return w, nil
}

// startRunner starts a runner on a machine.
func (w *world) startRunner(m *machine, cpu, memory int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRunner++
	m.runner = &runner{world: w, id: fmt.Sprintf("run-%d", w.lastRunner), machine: m.name, service: m.service, zone: m.zone, rack: m.rack, cpu: cpu, memory: memory}
	m.state = "up"
	return m.runner.start()
}

// upkeep serves POST /machine-upkeep.
func (w *world) upkeep(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(out, http.StatusBadRequest, map[string]string{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == o.Machine })
	if n < 0 {
		respond(out, http.StatusBadRequest, map[string]string{})
		return
	}
	m := w.machines[n]
	switch {
	case m.waves[o.Wave]:
	case m.state != "up":
		respond(out, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	default:
		w.record.note("upkeep of %s (%s), wave %d", m.name, m.runner.id, o.Wave)
		m.waves[o.Wave], m.state = true, "upkeep"
		m.runner.takeDown()
		cpu, memory := m.runner.cpu, m.runner.memory
		time.AfterFunc(upkeepTime, func() { _ = w.startRunner(m, cpu, memory) })
	}
	respond(out, http.StatusOK, map[string]string{})
}

// sendWave asks for the upkeep of machines.
func (w *world) sendWave(number int, machines []string, duration time.Duration, atOnce int) {
	w.record.note("wave %d: %v", number, machines)
	w.store.write("op", fmt.Sprintf("wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "duration_s": duration.Seconds(), "max_count": atOnce,
	})
}

// serve serves a handler on a free port and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// listMachines serves GET /machines.
func (w *world) listMachines(out http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []any{}
	for _, m := range w.machines {
		list = append(list, map[string]any{
			"machine": m.name, "pool": m.service, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.runner.cpu, "mem_mb": m.runner.memory, "gpu": 0}, "id": m.runner.id,
		})
	}
	respond(out, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// freePorts returns the first of n consecutive free ports at an address. They lie below
// those that the kernel gives to connections.
func freePorts(ip string, n int) (int, error) {
	for range 100 {
		first, free := 20000+rand.IntN(10000), true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				free = false
				break
			}
			defer l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports at %s", n, ip)
}

// startEntries starts the entries with the settings of a small deployment.
func (w *world) startEntries(n int, program string) error {
	storeAddress, err := serve(w.store.handler())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", w.listMachines)
	mux.HandleFunc("POST /machine-upkeep", w.upkeep)
	cloudAddress, err := serve(mux)
	if err != nil {
		return err
	}
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 101+i)
		port, err := freePorts(ip, 4)
		if err != nil {
			return err
		}
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), front: fmt.Sprintf("%s:%d", ip, port)}
		settings := map[string]any{
			"node": e.name, "role": "entry", "class": "edge", "serves": []string{"edge"}, "ip": ip,
			"zone": zones[i%len(zones)], "region": "here", "zones": map[string]string{"zone-a": "here", "zone-b": "here", "zone-c": "here"},
			"listen":         map[string]string{"front": e.front, "ready": fmt.Sprintf("%s:%d", ip, port+1)},
			"internal_ports": []int{port + 2, port + 3}, "seeds": []string{}, "bootstrap": true,
			"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "orders": "call",
			"bounds": map[string]any{
				"stability_window_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
				"hold_max_ms": maxLease.Milliseconds(), "stop_ms": 900, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
				"lease_ms": 3000, "require_fencing": false, "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2,
			},
			"platform":  map[string]any{"address": storeAddress, "form": "table", "row_bytes": 65536, "history_s": 20},
			"cloud_api": map[string]any{"address": cloudAddress, "rate_per_s": 64.0, "duty_per_s": 64.0},
		}
		text, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		e.settings = filepath.Join(w.dir, e.name+".json")
		if err := os.WriteFile(e.settings, text, 0o600); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := w.startEntry(e, program); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts the process of an entry. Its log goes to a file in the world's folder.
func (w *world) startEntry(e *entry, program string) error {
	logFile, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	e.command = exec.Command(program)
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "BRONZESTAIR_NODE_FILE=" + e.settings}
	e.command.Stdout, e.command.Stderr = logFile, logFile
	if err := e.command.Start(); err != nil {
		return err
	}
	processes.mu.Lock()
	processes.list = append(processes.list, e.command.Process)
	processes.mu.Unlock()
	w.record.note("%s starts", e.name)
	return nil
}

// processes holds the processes that were started.
var processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// stopAll kills all processes that were started.
func stopAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, p := range processes.list {
		_ = p.Kill()
		_, _ = p.Wait()
	}
	processes.list = nil
}

// stop ends all entries and removes the world's folder, unless KEEP is set.
func (w *world) stop() {
	stopAll()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// step returns the step of a work unit, or nil if no consumer has sent it.
func (w *world) step(unit string) *step {
	id, n := splitUnit(unit)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.submissions[id]
	if s == nil || n >= len(s.steps) {
		return nil
	}
	return s.steps[n]
}

var client = &http.Client{Timeout: 3 * time.Second}

// request sends a consumer's request to an entry and returns the status, 0 for none.
func (w *world) request(method, path string, body any) (int, map[string]any) {
	e := w.entries[rand.IntN(len(w.entries))]
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body) // plain values
	}
	r, err := http.NewRequest(method, "http://"+e.front+w.prefix+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	r.Host = w.host
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&answer) // some answers have no body
	return resp.StatusCode, answer
}

// ready waits until all entries have the config and the pool has an owner: a first small
// submission is done.
func (w *world) ready(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		s := &submission{id: newID(), what: "probe", steps: []*step{{Count: 1, CPU: 100, MemMB: 64, EstRuntime: 100, takes: 100 * time.Millisecond}}}
		if !w.submit(s, 1) {
			continue
		}
		for ; time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			if w.state(s) == "completed" {
				return nil
			}
		}
	}
	return fmt.Errorf("the entries do not serve within %v", timeout)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a submission in and reports whether it was accepted.
func (w *world) submit(s *submission, tries int) bool {
	w.mu.Lock()
	w.submissions[s.id] = s
	w.mu.Unlock()
	for range tries {
		status, _ := w.request(http.MethodPost, s.id, map[string]any{"spec": s.what, "steps": s.steps})
		w.record.note("POST %s (%s): %d", s.id, s.what, status)
		if status == http.StatusOK {
			w.mu.Lock()
			s.acceptedAt = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission, or the status of a response without one.
func (w *world) state(s *submission) string {
	status, answer := w.request(http.MethodGet, s.id, nil)
	if state, ok := answer["state"].(string); ok && status == http.StatusOK {
		return state
	}
	return fmt.Sprint(status)
}

// accepted returns the accepted submissions in the order of their acceptance.
func (w *world) accepted() []*submission {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*submission
	for _, s := range w.submissions {
		if !s.acceptedAt.IsZero() {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *submission) int { return a.acceptedAt.Compare(b.acceptedAt) })
	return out
}
