package otel

import (
	"context"
	"os"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"bronzestair/core/intake"
)

// Intake is the part of the process that accepts the connections of callers.
type Intake interface {
	Used() intake.Budget
	// Counts calls report for each reason with the number of connections closed and requests
	// refused because of it.
	Counts(report func(intake.Reason, int64))
}

// ObserveIntake adds the metrics of the intake: bytes and connections in use, connections
// closed and requests refused by reason, and the peak resident memory of the process.
func (t *Telemetry) ObserveIntake(source Intake) error {
	m := t.Meter()
	used, err := m.Int64ObservableGauge("bronzestair.intake.bytes", metric.WithUnit("By"),
		metric.WithDescription("Memory charged for connections of callers and requests that are being read."))
	if err != nil {
		return err
	}
	connections, err := m.Int64ObservableGauge("bronzestair.intake.connections", metric.WithUnit("{connection}"),
		metric.WithDescription("Open connections of callers, of readiness and of metrics."))
	if err != nil {
		return err
	}
	refusals, err := m.Int64ObservableCounter("bronzestair.intake.refusals", metric.WithUnit("{refusal}"),
		metric.WithDescription("Connections closed and requests refused by reason."))
	if err != nil {
		return err
	}
	peak, err := m.Int64ObservableGauge("bronzestair.memory.peak", metric.WithUnit("By"),
		metric.WithDescription("Peak resident memory of the process."))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		budget := source.Used()
		o.ObserveInt64(used, int64(budget.Bytes))
		o.ObserveInt64(connections, int64(budget.Connections))
		source.Counts(func(reason intake.Reason, n int64) {
			o.ObserveInt64(refusals, n, metric.WithAttributes(attribute.String("reason", string(reason))))
		})
		if n, err := peakMemory(); err == nil {
			o.ObserveInt64(peak, int64(n))
		}
		return nil
	}, used, connections, refusals, peak)
	return err
}

// Backlog is the memory of the accepted jobs of the process.
type Backlog interface {
	Used() intake.Bytes
	Limit() intake.Bytes
}

// ObserveBacklog adds the metrics of the accepted jobs: the memory that they are charged and the
// limit.
func (t *Telemetry) ObserveBacklog(source Backlog) error {
	m := t.Meter()
	used, err := m.Int64ObservableGauge("bronzestair.backlog.bytes", metric.WithUnit("By"),
		metric.WithDescription("Memory charged for accepted jobs that have not ended."))
	if err != nil {
		return err
	}
	limit, err := m.Int64ObservableGauge("bronzestair.backlog.limit", metric.WithUnit("By"),
		metric.WithDescription("Memory that accepted jobs may take."))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(used, int64(source.Used()))
		o.ObserveInt64(limit, int64(source.Limit()))
		return nil
	}, used, limit)
	return err
}

// peakMemory returns the peak resident memory of the process.
func peakMemory() (intake.Bytes, error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, err := strconv.ParseInt(value, 10, 64)
	return intake.Bytes(n) * intake.KiB, err
}
