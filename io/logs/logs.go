// Package logs writes JSON log lines without blocking the program.
//
// # Usage
//
//	out := logs.NewWriter(os.Stdout, 400)
//	defer out.Close()
//	slog.SetDefault(slog.New(slog.NewJSONHandler(out, nil)))
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueCapacity is the number of lines that are queued for a slow output before
// further lines are dropped.
const queueCapacity = 1024

// Writer writes lines to another writer in the background. Lines beyond the rate
// limit, or that do not fit in the queue, are dropped and counted. Use NewWriter.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu            sync.Mutex
	maxPerSecond  int
	currentSecond int64
	linesInSecond int
	closed        bool
}

// NewWriter returns a Writer that writes at most perSecond lines per second to out.
func NewWriter(out io.Writer, perSecond int) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{}), maxPerSecond: perSecond}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks on the output and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.currentSecond {
		w.currentSecond, w.linesInSecond = now, 0
	}
	if w.closed || w.linesInSecond >= w.maxPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.linesInSecond++
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}

// batchBytes is the approximate size of one write to the output.
const batchBytes = 16 << 10

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var reported int64
	var batch []byte
	for line := range w.lines {
		lines := int64(1)
		batch = append(batch[:0], line...)
	collect:
		for len(batch) < batchBytes {
			select {
			case next, ok := <-w.lines:
				if !ok {
					break collect
				}
				lines++
				batch = append(batch, next...)
			default:
				break collect
			}
		}
		dropped := w.dropped.Load()
		if dropped > reported {
			batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped-reported)
		}
		if _, err := out.Write(batch); err != nil {
			w.dropped.Add(lines) // the output may work again with a later batch
			continue
		}
		reported = dropped
	}
}
