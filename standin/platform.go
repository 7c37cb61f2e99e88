// Package standin implements in-memory stand-ins for external systems, the platform
// and backend servers, for tests, demonstrations and trial runs.
//
// # Usage
//
//	runner := standin.NewRunner("seats-1", 5*time.Millisecond)
//	server, err := standin.Serve(runner)
//	if err != nil {
//		return err
//	}
//	defer server.Close()
//	fmt.Println(server.Address, runner.Executions())
package standin

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"bronzestair/core/fleet"
	"bronzestair/io/platform"
)

// Fault is a fault that a stand-in injects into calls.
type Fault struct {
	// Down rejects calls with status 503; they have no effect.
	Down bool `json:"down"`
	// DropResponses lets writes take effect and then closes the connection without a
	// response.
	DropResponses bool `json:"loseAnswers"`
	// Delay is the delay before each call.
	Delay time.Duration `json:"delay"`
}

// Platform stands in for the table service, the object store and the list of
// instances. Use NewPlatform.
type Platform struct {
	echo *echo.Echo
	lag  time.Duration

	mu sync.Mutex
	// fault is injected into the calls numbered faultFrom up to, but not including,
	// faultTo.
	fault     Fault
	faultFrom int
	faultTo   int
	calls     int
	rows      map[string]platform.Row
	objects   map[string][]byte
	instances []instanceSnapshot
}

// instanceSnapshot is a state of the instance list with the time at which it was set.
type instanceSnapshot struct {
	at   time.Time
	list []platform.Instance
}

// NewPlatform returns an empty platform whose instance list is out of date by lag.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{
		lag:     lag,
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
	}
	e := echo.New()
	e.Use(p.injectFault)
	e.GET("/tables/:table/:key", p.getRow)
	e.PUT("/tables/:table/:key", p.putRow)
	e.GET("/objects", p.listObjects)
	e.GET("/objects/*", p.getObject)
	e.PUT("/objects/*", p.putObject)
	e.GET("/instances", p.getInstances)
	p.echo = e
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.echo.ServeHTTP(w, r) }

// SetFault injects a fault into all calls from now on.
func (p *Platform) SetFault(f Fault) { p.SetFaultAt(f, 0, math.MaxInt) }

// SetFaultAt injects a fault into some of the following calls: the first skip calls
// are unaffected, the next times calls are hit.
func (p *Platform) SetFaultAt(f Fault, skip, times int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.faultFrom = p.calls + skip
	p.faultTo = p.faultFrom + min(times, math.MaxInt-p.faultFrom)
}

// nextFault counts a call and returns the fault to inject into it.
func (p *Platform) nextFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := p.calls
	p.calls++
	if call < p.faultFrom || call >= p.faultTo {
		return Fault{}
	}
	return p.fault
}

// SetRow writes a row unconditionally.
func (p *Platform) SetRow(table, key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := table + "/" + key
	p.rows[name] = platform.Row{Version: p.rows[name].Version + 1, Value: value}
}

// SetFleet writes a configuration directly, without a change in its history.
func (p *Platform) SetFleet(f fleet.Fleet) error {
	value, err := json.Marshal(fleet.Record{Fleet: f})
	if err != nil {
		return err
	}
	p.SetRow(platform.ConfigurationTable, platform.FleetKey, value)
	return nil
}

// SetInstances replaces the instance list. Clients see the new list after the lag.
func (p *Platform) SetInstances(list []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, instanceSnapshot{at: time.Now(), list: list})
}

func (p *Platform) injectFault(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		fault := p.nextFault()
		time.Sleep(fault.Delay)
		if fault.Down {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if !fault.DropResponses || c.Request().Method == http.MethodGet {
			return next(c)
		}
		c.Response().Writer = discardResponse{header: http.Header{}}
		_ = next(c)
		panic(http.ErrAbortHandler)
	}
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

func (p *Platform) getRow(c echo.Context) error {
	p.mu.Lock()
	row, ok := p.rows[rowKey(c)]
	p.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	c.Response().Header().Set("Row-Version", strconv.FormatUint(uint64(row.Version), 10))
	return respondConditional(c, platform.RowETag(row.Version), row.Value)
}

func (p *Platform) putRow(c echo.Context) error {
	value, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	expected, err := strconv.ParseUint(c.Request().Header.Get("If-Row-Version"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "header If-Row-Version is not a number")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[rowKey(c)]
	if row.Version != platform.RowVersion(expected) {
		return c.NoContent(http.StatusConflict)
	}
	row = platform.Row{Version: row.Version + 1, Value: value}
	p.rows[rowKey(c)] = row
	c.Response().Header().Set("Row-Version", strconv.FormatUint(uint64(row.Version), 10))
	return c.NoContent(http.StatusOK)
}

func rowKey(c echo.Context) string { return c.Param("table") + "/" + c.Param("key") }

func (p *Platform) listObjects(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	p.mu.Lock()
	names := []string{}
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	p.mu.Unlock()
	sort.Strings(names)
	return c.JSON(http.StatusOK, names)
}

func (p *Platform) getObject(c echo.Context) error {
	p.mu.Lock()
	value, ok := p.objects[c.Param("*")]
	p.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}

func (p *Platform) putObject(c echo.Context) error {
	value, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.objects[c.Param("*")] = value
	p.mu.Unlock()
	return c.NoContent(http.StatusOK)
}

func (p *Platform) getInstances(c echo.Context) error {
	cutoff := time.Now().Add(-p.lag)
	p.mu.Lock()
	list := []platform.Instance{}
	version := 0
	for i, l := range p.instances {
		if !l.at.After(cutoff) {
			list = l.list
			version = i + 1
		}
	}
	body, err := json.Marshal(list)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return respondConditional(c, platform.RowETag(platform.RowVersion(version)), body)
}

// respondConditional responds with a value, or with status 304 if If-None-Match has
// its entity tag.
func respondConditional(c echo.Context, tag string, value []byte) error {
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}
