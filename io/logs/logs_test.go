package logs

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// blockedWriter is an output whose Write never returns.
type blockedWriter struct{ entered chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) {
	close(w.entered)
	select {}
}

func TestWriteDoesNotBlockOnSlowOutput(t *testing.T) {
	output := blockedWriter{make(chan struct{})}
	w := NewWriter(output, 1<<30)
	w.Write([]byte("first\n"))
	<-output.entered
	for range queueCapacity + 10 {
		w.Write([]byte("line\n"))
	}
	if got := w.Dropped(); got != 10 {
		t.Errorf("dropped = %d, want 10", got)
	}
}

func TestCloseFlushesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 1<<30)
	for range 100 {
		w.Write([]byte("line\n"))
	}
	w.Close()
	if got := strings.Count(out.String(), "line\n"); got != 100 {
		t.Errorf("%d lines were written, want 100", got)
	}
}

func TestLinesOverRateAreCounted(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 0)
	w.Write([]byte("line\n"))
	if got := w.Dropped(); got != 1 {
		t.Errorf("dropped = %d, want 1", got)
	}
	w.Close()
}

// brokenWriter is an output that always fails.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("the output is closed") }

// TestLinesOfFailedWritesAreCounted guards against lines that are lost without being
// counted after a write to the output has failed.
func TestLinesOfFailedWritesAreCounted(t *testing.T) {
	const lines = 100
	w := NewWriter(brokenWriter{}, 1<<30)
	for range lines {
		w.Write([]byte("line\n"))
	}
	w.Close()
	if got := w.Dropped(); got != lines {
		t.Errorf("dropped = %d, want %d", got, lines)
	}
}
