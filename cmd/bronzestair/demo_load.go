package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"bronzestair/core/book"
	"bronzestair/core/verdict"
	"bronzestair/io/backend"
	"bronzestair/io/caller"
	"bronzestair/standin"
)

const (
	demoCallers = 200
	demoTimeout = 2 * time.Second
	// demoResponseMargin is how long a caller waits for the response after its
	// timeout has passed.
	demoResponseMargin = 5 * time.Second
)

// outcome is the result of one request as the caller observed it.
type outcome struct {
	key     book.Key
	verdict verdict.Verdict
	// accepted reports whether a response arrived whose verdict is not notRun.
	accepted bool
	// violation describes a wrong or missing response, empty if there is none.
	violation string
}

// sendDemoLoad sends requests concurrently through all entries. Every other request
// goes to the first service, and the rest is spread evenly over all five services, so
// that the first one is overloaded: it gets three fifths of the requests.
func sendDemoLoad(ctx context.Context, entries []netip.AddrPort, requests int) []outcome {
	// The connect timeout covers the whole time that a caller waits. The client's
	// default is meant for entries, which can try another runner.
	client := backend.NewClient(backend.WithMaxIdleConns(demoCallers), backend.WithConnectTimeout(demoTimeout+demoResponseMargin))
	defer client.Close()
	services := standin.DemoServices()
	outcomes := make([]outcome, requests)
	indexes := make(chan int)
	var callers sync.WaitGroup
	for range demoCallers {
		callers.Go(func() {
			for i := range indexes {
				id := services[0].ID
				if i%2 == 1 {
					id = services[(i/2)%len(services)].ID
				}
				outcomes[i] = sendDemoRequest(ctx, client, entries[i%len(entries)], string(id), i)
			}
		})
	}
	for i := range requests {
		indexes <- i
	}
	close(indexes)
	callers.Wait()
	return outcomes
}

// sendDemoRequest sends one request and checks the response as a caller would: it must
// have a valid verdict, and if that is answered, a runner of the service must have sent
// the body.
func sendDemoRequest(ctx context.Context, client *backend.Client, entry netip.AddrPort, service string, i int) outcome {
	key := fmt.Sprintf("demo-%06d", i)
	o := outcome{key: book.Key(key)}
	response, err := client.Send(ctx, backend.Attempt{
		Address: entry,
		Request: &http.Request{
			Method: http.MethodPost,
			URL:    &url.URL{Path: "/" + service + "/bookings"},
			Host:   entry.String(),
			Header: http.Header{
				caller.HeaderIdempotencyKey: {key},
				caller.HeaderTimeout:        {demoTimeout.String()},
				caller.HeaderCaller:         {"demo"},
			},
		},
		Body:     []byte(`{"party":4}`),
		Deadline: time.Now().Add(demoTimeout + demoResponseMargin),
	})
	if err != nil {
		o.verdict = backend.VerdictOf(err)
		o.violation = "no response: " + err.Error()
		return o
	}
	defer response.Close()
	if err := o.verdict.UnmarshalText([]byte(response.Header.Get(caller.HeaderVerdict))); err != nil {
		o.violation = err.Error()
	}
	o.accepted = o.verdict != verdict.NotRun
	if o.verdict == verdict.Answered && !strings.HasPrefix(string(response.Buffered), "done by "+service) {
		o.violation = fmt.Sprintf("the answer is %q", response.Buffered)
	}
	return o
}
