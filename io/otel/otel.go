// Package otel sets up OpenTelemetry: metrics are exposed to Prometheus, spans
// are exported as log lines.
//
// # Usage
//
//	telemetry, err := otel.New("bronzestaird", logger)
//	if err != nil {
//		return err
//	}
//	defer telemetry.Close(ctx)
//	http.Handle("/metrics", telemetry.Handler())
//	ctx, span := telemetry.Tracer().Start(ctx, "operation")
//	defer span.End()
package otel

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Telemetry holds the meter and tracer providers of one program. Use New.
type Telemetry struct {
	name           string
	registry       *prometheus.Registry
	meterProvider  *sdkmetric.MeterProvider
	tracerProvider *sdktrace.TracerProvider
}

// New returns the telemetry of a program. Root spans are always sampled, because
// the code that starts one has made the sampling decision already. Other spans
// follow the decision of their parent.
func New(name string, logger *slog.Logger) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	return &Telemetry{
		name:          name,
		registry:      registry,
		meterProvider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)),
		tracerProvider: sdktrace.NewTracerProvider(
			sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.AlwaysSample())),
			sdktrace.WithBatcher(&spanLogger{logger: logger}),
		),
	}, nil
}

// Meter returns the meter for the program's instruments.
func (t *Telemetry) Meter() metric.Meter { return t.meterProvider.Meter(t.name) }

// Tracer returns the tracer for the program's spans.
func (t *Telemetry) Tracer() trace.Tracer { return t.tracerProvider.Tracer(t.name) }

// maxScrapes limits the responses with metrics, some 100 KB each, that are prepared at once.
const maxScrapes = 8

// Handler serves the metrics in the Prometheus text format. Beyond maxScrapes requests at
// once, it responds with status 503.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Close exports the remaining spans and shuts down the providers.
func (t *Telemetry) Close(ctx context.Context) error {
	return errors.Join(t.tracerProvider.Shutdown(ctx), t.meterProvider.Shutdown(ctx))
}

// spanLogger is a span exporter that writes spans to a log.
type spanLogger struct {
	logger *slog.Logger
}

// ExportSpans implements sdktrace.SpanExporter.
func (l *spanLogger) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		attributes := make([]any, 0, len(span.Attributes()))
		for _, a := range span.Attributes() {
			attributes = append(attributes, slog.Any(string(a.Key), a.Value.AsInterface()))
		}
		l.logger.LogAttrs(ctx, slog.LevelInfo, "span",
			slog.String("name", span.Name()),
			slog.String("traceId", span.SpanContext().TraceID().String()),
			slog.String("spanId", span.SpanContext().SpanID().String()),
			slog.String("parentSpanId", span.Parent().SpanID().String()),
			slog.Time("start", span.StartTime()),
			slog.Duration("duration", span.EndTime().Sub(span.StartTime())),
			slog.Group("attributes", attributes...),
		)
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (l *spanLogger) Shutdown(context.Context) error { return nil }
