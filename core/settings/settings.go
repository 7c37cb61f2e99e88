// Package settings defines the settings of an entry instance's daemon.
//
// Every setting can be given in the settings file, in the environment and on the
// command line; each of these overrides the one before. Addresses are IP literals.
//
// # Usage
//
//	var s settings.Settings
//	s.Bind(flags)
//	if err := flags.Parse(arguments); err != nil {
//		return err
//	}
//	if err := s.Check(); err != nil {
//		return err
//	}
package settings

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"bronzestair/core/fleet"
	"bronzestair/core/runner"
)

// The default settings.
const (
	defaultEntry          = "entry-1"
	defaultDataCentre     = "dc-1"
	defaultCaller         = "127.0.0.1:8080"
	defaultPeer           = "127.0.0.1:8081"
	defaultOperator       = "127.0.0.1:8082"
	defaultPlatform       = "127.0.0.1:8090"
	defaultDrainDelay     = 2 * time.Second
	defaultTraceRatio     = 0.01
	defaultBodyBytes      = 64 << 20
	defaultHeaderBytes    = 16 << 10
	defaultConnections    = 4096
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultConnectTimeout = 1 * time.Second
)

// Settings are the settings of a daemon.
type Settings struct {
	Entry             fleet.EntryID
	DataCentre        runner.DataCentre
	CallerAddress     netip.AddrPort
	PeerAddress       netip.AddrPort
	OperatorAddress   netip.AddrPort
	PlatformAddress   netip.AddrPort
	LogLevel          slog.Level
	TraceRatio        float64
	DrainDelay        time.Duration
	TrustCallerHeader bool
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	MaxConnections    int
	// MemoryMB and MaxFDs are the memory of the instance in MiB and the descriptors of the
	// process. Zero means that no limit is derived from them.
	MemoryMB       int
	MaxFDs         int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
	ConnectTimeout time.Duration
}

// Default returns the default settings.
func Default() Settings {
	var s Settings
	s.Bind(flag.NewFlagSet("", flag.ContinueOnError))
	return s
}

// Bind defines a flag for every setting and sets s to the defaults.
func (s *Settings) Bind(flags *flag.FlagSet) {
	flags.StringVar((*string)(&s.Entry), "entry", defaultEntry, "name of this entry instance, as in the fleet's configuration")
	flags.StringVar((*string)(&s.DataCentre), "data-centre", defaultDataCentre, "data centre of this entry instance")
	addressFlag(flags, &s.CallerAddress, "caller-address", defaultCaller, "IP address and port for callers")
	addressFlag(flags, &s.PeerAddress, "peer-address", defaultPeer, "IP address and port for other entries")
	addressFlag(flags, &s.OperatorAddress, "operator-address", defaultOperator, "IP address and port for operators: metrics, health, status")
	addressFlag(flags, &s.PlatformAddress, "platform-address", defaultPlatform, "IP address and port of the platform")
	flags.TextVar(&s.LogLevel, "log-level", slog.LevelInfo, "lowest level of log lines: debug, info, warn or error")
	flags.Float64Var(&s.TraceRatio, "trace-ratio", defaultTraceRatio, "share of requests without a trace that get one, 0 to 1")
	flags.DurationVar(&s.DrainDelay, "drain-delay", defaultDrainDelay, "how long requests are taken after readiness is off")
	flags.BoolVar(&s.TrustCallerHeader, "trust-caller-header", false, "take the caller's name from the header Bronzestair-Caller")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", defaultBodyBytes, "largest body of a request")
	flags.IntVar(&s.MaxHeaderBytes, "max-header-bytes", defaultHeaderBytes, "largest head of a request")
	flags.IntVar(&s.MaxConnections, "max-connections", defaultConnections, "most connections of callers")
	flags.IntVar(&s.MemoryMB, "memory-mb", 0, "memory of the instance in MiB, from which limits on callers are derived; 0 for none")
	flags.IntVar(&s.MaxFDs, "max-fds", 0, "descriptors of the process, from which the limit on connections is derived; 0 for none")
	flags.DurationVar(&s.HeaderTimeout, "header-timeout", defaultHeaderTimeout, "how long a caller may take to send a head")
	flags.DurationVar(&s.BodyTimeout, "body-timeout", defaultBodyTimeout, "how long a caller may take to send a body")
	flags.DurationVar(&s.IdleTimeout, "idle-timeout", defaultIdleTimeout, "how long a caller's connection may be idle")
	flags.DurationVar(&s.ConnectTimeout, "connect-timeout", defaultConnectTimeout, "how long connecting to a backend server may take")
}

// addressFlag defines a flag whose value is an IP literal and a port.
func addressFlag(flags *flag.FlagSet, p *netip.AddrPort, name, value, usage string) {
	*p = netip.MustParseAddrPort(value)
	flags.Var((*addressValue)(p), name, usage)
}

// addressValue is a flag value that rejects host names.
type addressValue netip.AddrPort

// String implements flag.Value.
func (a *addressValue) String() string {
	if a == nil || !netip.AddrPort(*a).IsValid() {
		return ""
	}
	return netip.AddrPort(*a).String()
}

// Set implements flag.Value.
func (a *addressValue) Set(text string) error {
	parsed, err := ParseAddress(text)
	if err != nil {
		return err
	}
	*a = addressValue(parsed)
	return nil
}

// ParseAddress parses an IP literal and a port. It rejects host names.
func ParseAddress(text string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("address %q is not an IP address and a port; host names are not looked up", text)
	}
	return parsed, nil
}

// Check returns all errors in the settings, joined, or nil.
func (s *Settings) Check() error {
	var errs []error
	errorIf := func(bad bool, format string, args ...any) {
		if bad {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	errorIf(s.Entry == "", "entry is empty")
	errorIf(s.DataCentre == "", "dataCentre is empty")
	errorIf(s.TraceRatio < 0 || s.TraceRatio > 1, "traceRatio is %v, not 0 to 1", s.TraceRatio)
	errorIf(s.DrainDelay < 0, "drainDelay is %v, below 0", s.DrainDelay)
	errorIf(s.MaxBodyBytes < 1, "maxBodyBytes is %d, below 1", s.MaxBodyBytes)
	errorIf(s.MaxHeaderBytes < 1024, "maxHeaderBytes is %d, below 1024", s.MaxHeaderBytes)
	errorIf(s.MaxConnections < 1, "maxConnections is %d, below 1", s.MaxConnections)
	errorIf(s.MemoryMB < 0, "memoryMb is %d, below 0", s.MemoryMB)
	errorIf(s.MaxFDs < 0, "maxFds is %d, below 0", s.MaxFDs)
	errorIf(s.HeaderTimeout <= 0, "headerTimeout is %v, not above 0", s.HeaderTimeout)
	errorIf(s.BodyTimeout <= 0, "bodyTimeout is %v, not above 0", s.BodyTimeout)
	errorIf(s.IdleTimeout <= 0, "idleTimeout is %v, not above 0", s.IdleTimeout)
	errorIf(s.ConnectTimeout <= 0, "connectTimeout is %v, not above 0", s.ConnectTimeout)
	return errors.Join(errs...)
}
