package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/verdict"
	"bronzestair/io/backend"
	"bronzestair/io/caller"
	"bronzestair/io/command"
)

const (
	loadTimeout = 10 * time.Second
	// loadSlice is the time for which a target is under load before the load moves to
	// the next target, if there is one.
	loadSlice                = 1 * time.Second
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
	loadBody                 = `{"party":4}`
	defaultLoadDuration      = 5 * time.Second
)

// loadTarget is a server under load.
type loadTarget struct {
	address        netip.AddrPort
	path           string
	client         *backend.Client
	callers        []callerStats
	elapsedSeconds float64
}

// callerStats holds the measurements of one of the concurrent callers at one target.
type callerStats struct {
	latency *hdrhistogram.Histogram
	sent    int
	failed  int
}

// loadResult holds the measurements of one target. Rate and latency include only
// requests that succeeded.
type loadResult struct {
	Address           string  `json:"address"`
	Requests          int     `json:"requests"`
	Failed            int     `json:"failed"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	P50Micros         int64   `json:"p50Micros"`
	P99Micros         int64   `json:"p99Micros"`
}

// loadReport holds the results of a run. With two targets it also compares them.
type loadReport struct {
	Target          loadResult  `json:"target"`
	Against         *loadResult `json:"against,omitempty"`
	ThroughputRatio float64     `json:"throughputRatio,omitempty"`
	P50Ratio        float64     `json:"p50Ratio,omitempty"`
	P99Ratio        float64     `json:"p99Ratio,omitempty"`
}

type loadFlags struct {
	address  netip.AddrPort
	against  netip.AddrPort
	service  string
	callers  int
	duration time.Duration
	asJSON   bool
}

func loadCommand() *ffcli.Command {
	flags, options := newFlags("load")
	var f loadFlags
	address := command.AddressFlag(flags, "address", "127.0.0.1:8080", "callers' address of an entry")
	against := command.AddressFlag(flags, "against", "", "address of a backend server to compare with; the targets take turns")
	flags.StringVar(&f.service, "service", "seats", "service to send requests to")
	flags.IntVar(&f.callers, "connections", 64, "number of concurrent callers")
	flags.DurationVar(&f.duration, "duration", defaultLoadDuration, "how long each target is under load")
	flags.BoolVar(&f.asJSON, "json", false, "print one JSON object")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "bronzestair load [-address A] [-against B] [-connections N] [-duration D] [-json]",
		ShortHelp:  "Sends requests and measures rate and latency.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, _ []string) error {
			f.address = *address
			f.against = *against
			return runLoad(ctx, f)
		},
	}
}

func runLoad(ctx context.Context, f loadFlags) error {
	if f.callers < 1 || f.duration <= 0 {
		return merry.Errorf("-connections is %d and -duration is %v; both must be above 0", f.callers, f.duration)
	}
	targets := []*loadTarget{newLoadTarget(f.address, "/"+f.service+"/bookings", f.callers)}
	if f.against.IsValid() {
		targets = append(targets, newLoadTarget(f.against, "/bookings", f.callers))
	}
	for _, slice := range loadSlices(f.duration) {
		for _, t := range targets {
			if ctx.Err() == nil {
				t.run(ctx, slice)
			}
		}
	}
	for _, t := range targets {
		if r := t.result(); r.Requests == r.Failed {
			return merry.Errorf("%v served none of %d requests", t.address, r.Requests)
		}
	}
	return newLoadReport(targets).print(f.asJSON)
}

// loadSlices divides a duration into slices of loadSlice and a shorter last one.
func loadSlices(duration time.Duration) []time.Duration {
	var out []time.Duration
	for ; duration > 0; duration -= loadSlice {
		out = append(out, min(loadSlice, duration))
	}
	return out
}

func newLoadTarget(address netip.AddrPort, path string, callerCount int) *loadTarget {
	t := &loadTarget{
		address: address,
		path:    path,
		client:  backend.NewClient(backend.WithMaxIdleConns(callerCount)),
		callers: make([]callerStats, callerCount),
	}
	for i := range t.callers {
		t.callers[i].latency = newLatencyHistogram()
	}
	return t
}

// newLatencyHistogram returns an empty histogram for latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
}

// run sends requests from all callers to the target for the given time.
func (t *loadTarget) run(ctx context.Context, d time.Duration) {
	start := time.Now()
	end := start.Add(d)
	var callers sync.WaitGroup
	for i := range t.callers {
		callers.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				t.sendTimed(ctx, i)
			}
		})
	}
	callers.Wait()
	t.elapsedSeconds += time.Since(start).Seconds()
}

// sendTimed sends one request of caller i and records its latency if it succeeded.
func (t *loadTarget) sendTimed(ctx context.Context, i int) {
	c := &t.callers[i]
	start := time.Now()
	key := fmt.Sprintf("load-%d-%d-%d", start.UnixNano(), i, c.sent)
	c.sent++
	if !t.send(ctx, key) {
		c.failed++
		return
	}
	// Latencies above the histogram's range are recorded as its maximum.
	took := min(time.Since(start).Microseconds(), maxLatencyMicros)
	if err := c.latency.RecordValue(took); err != nil {
		panic(err) // cannot happen: the value is at most maxLatencyMicros
	}
}

// send sends one request and reports whether it succeeded: the status is below
// 300, and the verdict, which only entries send, is answered.
func (t *loadTarget) send(ctx context.Context, key string) bool {
	response, err := t.client.Send(ctx, backend.Attempt{
		Address: t.address,
		Request: &http.Request{
			Method: http.MethodPost,
			URL:    &url.URL{Path: t.path},
			Host:   t.address.String(),
			Header: http.Header{caller.HeaderIdempotencyKey: {key}, "User-Agent": nil},
		},
		Body:     []byte(loadBody),
		Deadline: time.Now().Add(loadTimeout),
	})
	if err != nil {
		return false
	}
	defer response.Close()
	responseVerdict := response.Header.Get(caller.HeaderVerdict)
	return response.Status < http.StatusMultipleChoices && (responseVerdict == "" || responseVerdict == verdict.Answered.String())
}

func (t *loadTarget) result() loadResult {
	latency := newLatencyHistogram()
	r := loadResult{Address: t.address.String()}
	for _, c := range t.callers {
		latency.Merge(c.latency)
		r.Requests += c.sent
		r.Failed += c.failed
	}
	r.RequestsPerSecond = float64(r.Requests-r.Failed) / max(t.elapsedSeconds, 1e-9)
	r.P50Micros = latency.ValueAtQuantile(50)
	r.P99Micros = latency.ValueAtQuantile(99)
	return r
}

// newLoadReport returns the report of one target, or of two targets and their ratios.
func newLoadReport(targets []*loadTarget) loadReport {
	report := loadReport{Target: targets[0].result()}
	if len(targets) > 1 {
		against := targets[1].result()
		report.Against = &against
		report.ThroughputRatio = report.Target.RequestsPerSecond / against.RequestsPerSecond
		report.P50Ratio = float64(report.Target.P50Micros) / float64(against.P50Micros)
		report.P99Ratio = float64(report.Target.P99Micros) / float64(against.P99Micros)
	}
	return report
}

func (r loadReport) print(asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	r.Target.print("target")
	if r.Against != nil {
		r.Against.print("against")
		fmt.Printf("ratio: throughput %.2f, p50 %.2f, p99 %.2f\n", r.ThroughputRatio, r.P50Ratio, r.P99Ratio)
	}
	return nil
}

func (r loadResult) print(name string) {
	fmt.Printf("%-8s %-21s %8.0f requests/s, p50 %d µs, p99 %d µs, %d of %d failed\n",
		name, r.Address, r.RequestsPerSecond, r.P50Micros, r.P99Micros, r.Failed, r.Requests)
}
