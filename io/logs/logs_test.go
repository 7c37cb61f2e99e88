package logs

import (
	"bytes"
	"strings"
	"testing"
)

// stuck is a reader of the log that takes nothing.
type stuck struct{ entered chan struct{} }

func (s stuck) Write([]byte) (int, error) {
	close(s.entered)
	select {}
}

func TestSlowReaderBlocksNobody(t *testing.T) {
	reader := stuck{make(chan struct{})}
	w := NewWriter(reader, 1<<30)
	w.Write([]byte("first\n"))
	<-reader.entered
	for range queueLines + 10 {
		w.Write([]byte("line\n"))
	}
	if got := w.Dropped(); got != 10 {
		t.Errorf("dropped = %d, want 10", got)
	}
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 1<<30)
	for range 100 {
		w.Write([]byte("line\n"))
	}
	w.Close()
	if got := strings.Count(out.String(), "line\n"); got != 100 {
		t.Errorf("%d lines are written, want 100", got)
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 0)
	w.Write([]byte("line\n"))
	if got := w.Dropped(); got != 1 {
		t.Errorf("dropped = %d, want 1", got)
	}
	w.Close()
}
