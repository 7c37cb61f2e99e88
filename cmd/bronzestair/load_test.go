package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// TestLoadFailsIfNothingIsServed checks that a load returns an error instead of a
// rate if every request fails or the target does not listen.
func TestLoadFailsIfNothingIsServed(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer broken.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for name, server := range map[string]*httptest.Server{"only errors": broken, "not listening": closed} {
		t.Run(name, func(t *testing.T) {
			err := runLoad(t.Context(), loadFlags{
				address: netip.MustParseAddrPort(server.Listener.Addr().String()), service: "seats",
				callers: 2, duration: 20 * time.Millisecond,
			})
			if err == nil || !strings.Contains(err.Error(), "served none of") {
				t.Errorf("error = %v, want one that contains \"served none of\"", err)
			}
		})
	}
}

func TestLoadRateExcludesFailedRequests(t *testing.T) {
	target := &loadTarget{elapsedSeconds: 2, callers: []callerStats{{sent: 10, failed: 4}}}
	target.callers[0].latency = newLatencyHistogram()
	if got := target.result().RequestsPerSecond; got != 3 {
		t.Errorf("rate = %v requests/s, want 3", got)
	}
}

// TestLoadSlicesFillDuration guards against a load that lasts longer than asked for,
// because its last slice was not shortened.
func TestLoadSlicesFillDuration(t *testing.T) {
	for _, duration := range []time.Duration{20 * time.Millisecond, time.Second, 1500 * time.Millisecond, 6 * time.Second} {
		var sum time.Duration
		for _, slice := range loadSlices(duration) {
			sum += slice
		}
		if sum != duration {
			t.Errorf("slices of %v last %v", duration, sum)
		}
	}
}
