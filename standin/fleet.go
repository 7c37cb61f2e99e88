package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"bronzestair/core/runner"
	"bronzestair/core/service"
)

// ServiceSize is a service with its number of runners.
type ServiceSize struct {
	ID      service.ID
	Runners int
}

// DemoServices returns the five services of the fleet that demonstrations use: the
// fleet of the Himal Skywatch co-operative.
func DemoServices() []ServiceSize {
	return []ServiceSize{
		{"seats", 12}, {"jeeps", 10}, {"permits", 8}, {"shares", 10}, {"members", 10},
	}
}

// runnersPerRack and dataCentres determine the topology of stand-in fleets.
const (
	runnersPerRack = 4
	dataCentres    = 3
)

// Server is the HTTP server of a stand-in.
type Server struct {
	Address netip.AddrPort
	http    *http.Server
}

// Serve serves a handler on a free loopback port.
func Serve(h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return ServeOn(h, l), nil
}

// ServeOn serves a handler on an open listener.
func ServeOn(h http.Handler, l net.Listener) *Server {
	s := &Server{http: &http.Server{Handler: h}}
	s.Address = l.Addr().(*net.TCPAddr).AddrPort()
	go func() { _ = s.http.Serve(l) }()
	return s
}

// Close closes all connections and stops the server.
func (s *Server) Close() { _ = s.http.Close() }

// RunnerID returns the ID of the n-th runner of a service, counted from 1.
func RunnerID(id service.ID, n int) runner.ID { return runner.ID(fmt.Sprintf("%s-%d", id, n)) }

// Location returns the rack and data centre of the n-th runner of a fleet, counted
// from 0.
func Location(n int) (runner.Rack, runner.DataCentre) {
	rack := n / runnersPerRack
	return runner.Rack(fmt.Sprintf("rack-%d", rack+1)), runner.DataCentre(fmt.Sprintf("dc-%d", rack%dataCentres+1))
}
