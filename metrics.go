package bronzestair

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"bronzestair/core/entry"
)

// gauge describes a per-service gauge, which is read when metrics are scraped.
type gauge struct {
	name        string
	description string
	value       func(entry.ServiceStatus) int
}

var serviceGauges = []gauge{
	{"bronzestair.queue.length", "Requests that wait for a slot.", func(s entry.ServiceStatus) int { return s.Queued }},
	{"bronzestair.slots.busy", "Slots with a request in flight from this entry.", func(s entry.ServiceStatus) int { return s.Busy }},
	{"bronzestair.slots.held", "Slots on which this entry may start requests.", func(s entry.ServiceStatus) int { return s.Held }},
	{"bronzestair.slots.lent", "Slots at home here that a peer has.", func(s entry.ServiceStatus) int { return s.Lent }},
	{"bronzestair.slots.borrowed", "Slots of peers that this entry has.", func(s entry.ServiceStatus) int { return s.Borrowed }},
	{"bronzestair.runners.ejected", "Runners taken out because they failed everything.", func(s entry.ServiceStatus) int { return len(s.Ejected) }},
	{"bronzestair.runners.leaving", "Runners that get no new work.", func(s entry.ServiceStatus) int { return len(s.Leaving) }},
}

// registerMetrics creates the instruments whose values are read from the state
// at each scrape.
func (e *Entry) registerMetrics() {
	if err := e.telemetry.ObserveIntake(e.callerServer.Gate()); err != nil {
		e.logger.Error("registering the metrics of the intake failed", "error", err)
	}
	meter := e.telemetry.Meter()
	var instruments []metric.Observable
	gauges := make([]metric.Int64ObservableGauge, len(serviceGauges))
	for i, g := range serviceGauges {
		gauges[i], _ = meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description))
		instruments = append(instruments, gauges[i])
	}
	version, _ := meter.Int64ObservableGauge("bronzestair.configuration.version",
		metric.WithDescription("Version of the configuration in force."))
	unfiled, _ := meter.Int64ObservableGauge("bronzestair.books.unfiled",
		metric.WithDescription("Book lines that the platform does not have yet."))
	instruments = append(instruments, version, unfiled)
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := e.loop.Status()
		for _, s := range status.Services {
			attributes := metric.WithAttributes(attribute.String("service", string(s.Service)))
			for i, g := range serviceGauges {
				o.ObserveInt64(gauges[i], int64(g.value(s)), attributes)
			}
		}
		o.ObserveInt64(version, int64(status.Version))
		o.ObserveInt64(unfiled, int64(e.books.Pending()))
		return nil
	}, instruments...)
	if err != nil {
		e.logger.Error("registering the metrics failed; gauges are missing", "error", err)
	}
}
