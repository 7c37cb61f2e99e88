package platform

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bronzestair/core/book"
)

const (
	// flushInterval is the time between two writes of collected book lines.
	flushInterval = 500 * time.Millisecond
	// maxBatchLines limits the lines of a batch.
	maxBatchLines = 10_000
	// maxRetryInterval limits the back-off between two attempts to write a batch.
	maxRetryInterval = 5 * time.Second
)

// BatchWriter writes batches of book lines. Writing a batch must be idempotent.
type BatchWriter interface {
	PutBatch(context.Context, book.Batch) error
}

// Limits of the lines that wait to be written.
const (
	// lineBytes is the memory of a line with its texts, in slices that grow.
	lineBytes = 512
	// bookShare is the part of the memory of the process, as its divisor, for these lines.
	bookShare = 8
	// unlimitedLines applies if the memory of the process is not known.
	unlimitedLines = 1 << 20
)

// PendingLimit returns the number of lines that may wait in a process with the given memory in
// bytes, 0 if that is not known.
func PendingLimit(memory int64) int {
	if memory <= 0 {
		return unlimitedLines
	}
	return int(memory / bookShare / lineBytes)
}

// BookWriter collects book lines and writes them in batches. Use NewBookWriter.
type BookWriter struct {
	// MaxPending is the number of lines from which on Full returns true. Zero means no limit.
	MaxPending int

	writer BatchWriter
	logger *slog.Logger

	mu    sync.Mutex
	lines []book.Line
	// batch is written next. Its lines do not change until a write has succeeded,
	// so that a delayed or repeated write stores the same content.
	batch book.Batch
}

// NewBookWriter returns a writer whose batches carry the entry's name and
// incarnation.
func NewBookWriter(writer BatchWriter, entry, incarnation string, logger *slog.Logger) *BookWriter {
	return &BookWriter{
		writer: writer,
		logger: logger,
		batch:  book.Batch{Entry: entry, Incarnation: incarnation},
	}
}

// Add queues a line for writing.
func (b *BookWriter) Add(line book.Line) {
	b.mu.Lock()
	b.lines = append(b.lines, line)
	b.mu.Unlock()
}

// Pending returns the number of lines that have not been written yet.
func (b *BookWriter) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.lines) + len(b.batch.Lines)
}

// Full reports whether so many lines wait to be written that no further requests should be
// accepted. The lines of those in flight are still added.
func (b *BookWriter) Full() bool { return b.MaxPending > 0 && b.Pending() >= b.MaxPending }

// Run writes the collected lines at intervals until the context ends. A call to
// Flush then writes the rest.
func (b *BookWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := b.Flush(ctx); err != nil {
				b.logger.Warn("book lines could not be written and remain pending", "error", err)
			}
		}
	}
}

// Flush writes all pending lines, retrying until the context ends. Lines that could
// not be written remain for the next call. Flush must not be called concurrently.
func (b *BookWriter) Flush(ctx context.Context) error {
	for {
		batch, ok := b.nextBatch()
		if !ok {
			return nil
		}
		policy := backoff.NewExponentialBackOff()
		policy.MaxInterval = maxRetryInterval
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, b.writer.PutBatch(ctx, batch)
		}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
		if err != nil {
			return err
		}
		b.completeBatch()
	}
}

// nextBatch returns the batch to write, and false if no line is pending.
func (b *BookWriter) nextBatch() (book.Batch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.batch.Lines) == 0 {
		n := min(len(b.lines), maxBatchLines)
		b.batch.Lines = b.lines[:n:n]
		b.lines = append([]book.Line(nil), b.lines[n:]...)
	}
	return b.batch, len(b.batch.Lines) > 0
}

func (b *BookWriter) completeBatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batch.Lines = nil
	b.batch.Sequence++
}
