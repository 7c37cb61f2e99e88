package caller

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"bronzestair/core/service"
	"bronzestair/core/verdict"
)

// metrics holds the instruments of the server. A nil *metrics records nothing.
type metrics struct {
	duration metric.Float64Histogram
	// recordOptions caches the attributes of each outcomeKey.
	recordOptions sync.Map
}

type outcomeKey struct {
	service service.ID
	verdict verdict.Verdict
}

// durationBoundsSeconds are the bucket boundaries of the duration histogram.
var durationBoundsSeconds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

func newMetrics(m metric.Meter) *metrics {
	duration, err := m.Float64Histogram("bronzestair.request.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from a request's head to the end of its answer, by service and verdict."),
		metric.WithExplicitBucketBoundaries(durationBoundsSeconds...))
	if err != nil {
		return nil
	}
	return &metrics{duration: duration}
}

// record records the duration of one request to a known service.
func (m *metrics) record(id service.ID, v verdict.Verdict, took time.Duration) {
	if m == nil {
		return
	}
	key := outcomeKey{service: id, verdict: v}
	option, ok := m.recordOptions.Load(key)
	if !ok {
		option, _ = m.recordOptions.LoadOrStore(key, []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(
			attribute.String("service", string(id)),
			attribute.String("verdict", v.String()),
		))})
	}
	m.duration.Record(context.Background(), took.Seconds(), option.([]metric.RecordOption)...)
}
