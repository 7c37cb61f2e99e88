// Package operator serves the operators' HTTP endpoints of an entry: health,
// readiness, status, metrics and CPU profiles.
//
// # Usage
//
//	server := operator.NewServer(source, telemetry.Handler())
//	go server.Serve(listener)
//	<-ctx.Done()
//	return server.Shutdown(context.Background())
package operator

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"

	"bronzestair/core/entry"
	"bronzestair/io/intake"
)

// Paths served on the operators' address.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
	PathMetrics = "/metrics"
	PathProfile = "/debug/pprof/profile"
)

// StatusSource reports the readiness and status of an entry.
type StatusSource interface {
	// Ready reports whether the load balancer may send requests to the entry.
	Ready() bool
	Status() entry.Status
}

// Server serves operators. Use NewServer.
type Server struct {
	http *http.Server
	gate *intake.Gate
}

// NewServer returns a server whose connections belong to gate. Call Serve to start it.
func NewServer(source StatusSource, metrics http.Handler, gate *intake.Gate) *Server {
	e := echo.New()
	e.GET(PathHealth, func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET(PathReady, func(c echo.Context) error {
		if !source.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET(PathStatus, func(c echo.Context) error {
		return c.JSON(http.StatusOK, source.Status())
	})
	e.GET(PathMetrics, echo.WrapHandler(metrics))
	e.GET(PathProfile, echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	s := &Server{http: &http.Server{Handler: intake.RefuseRejected(e)}, gate: gate}
	gate.Install(s.http)
	return s
}

// Serve accepts connections on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(s.gate.Listener(l))
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and returns once no request is in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
