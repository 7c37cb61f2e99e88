package bronzestair

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"bronzestair/core/entry"
	"bronzestair/core/runner"
	"bronzestair/io/backend"
)

// A health probe is a GET of probePath with the header probeHeader. An ejected
// runner must answer it with a status below 300 to be used again.
const (
	probePath   = "/health"
	probeHeader = "Bronzestair-Probe"
)

// probeTimeout bounds a health probe.
const probeTimeout = 1 * time.Second

// prober executes Probe effects.
type prober struct {
	entry *Entry
}

// Kinds implements EffectHandler.
func (p *prober) Kinds() []entry.EffectKind { return []entry.EffectKind{entry.Probe} }

// Handle implements EffectHandler.
func (p *prober) Handle(effect entry.Effect) {
	go func() {
		ok := p.probe(effect.Runner)
		p.entry.loop.Submit(&entry.ProbeEnded{Runner: effect.Runner, OK: ok})
	}()
}

func (p *prober) probe(id runner.ID) bool {
	endpoint, ok := p.entry.directory.Runner(id)
	if !ok {
		return false
	}
	response, err := p.entry.backend.Send(context.Background(), backend.Attempt{
		Address: endpoint.Address,
		Request: &http.Request{
			Method: http.MethodGet,
			URL:    &url.URL{Path: probePath},
			Host:   endpoint.Address.String(),
			Header: http.Header{probeHeader: {"1"}},
		},
		Deadline: time.Now().Add(probeTimeout),
	})
	if err != nil {
		return false
	}
	defer response.Close()
	return response.Status < http.StatusMultipleChoices
}
