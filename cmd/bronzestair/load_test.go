package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// TestLoadOfNobodyFails checks that requests which nobody served give no rate.
func TestLoadOfNobodyFails(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer broken.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for name, server := range map[string]*httptest.Server{"errors only": broken, "nobody listens": closed} {
		t.Run(name, func(t *testing.T) {
			err := runLoad(t.Context(), loadFlags{
				address: netip.MustParseAddrPort(server.Listener.Addr().String()), service: "seats",
				connections: 2, duration: 20 * time.Millisecond,
			})
			if err == nil || !strings.Contains(err.Error(), "served none of") {
				t.Errorf("error = %v, want that nothing was served", err)
			}
		})
	}
}

func TestLoadCountsOnlyWhatWasServed(t *testing.T) {
	target := &loadTarget{seconds: 2, callers: []loadCaller{{sent: 10, failed: 4}}}
	target.callers[0].latency = newLatency()
	if got := target.measured().RequestsPerSecond; got != 3 {
		t.Errorf("rate = %v requests/s, want 3", got)
	}
}
