// Package command sets flags from the command line, the environment and settings
// files.
//
// # Usage
//
//	flags := flag.NewFlagSet("bronzestaird", flag.ContinueOnError)
//	s.Bind(flags)
//	if err := command.Parse(flags, os.Args[1:]); err != nil {
//		return err
//	}
package command

import (
	"flag"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3"

	"bronzestair/core/settings"
	"bronzestair/io/jsonc"
)

// EnvPrefix is the prefix of the environment variables that set flags:
// BRONZESTAIR_CALLER_ADDRESS sets -caller-address.
const EnvPrefix = "BRONZESTAIR"

// settingsFlag is the flag for the path of the settings file.
const settingsFlag = "settings"

// Parse sets flags from the command line, the environment and the settings file
// given by -settings, in this order of precedence. Values that are overridden
// are validated too.
func Parse(flags *flag.FlagSet, args []string) error {
	file := flags.String(settingsFlag, "", "settings file, JSON with comments")
	err := ff.Parse(flags, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag(settingsFlag),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return jsonc.FlagParser(*file, flags, settingsFlag)(r, set)
		}),
	)
	if err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return merry.Errorf("unexpected arguments %q", strings.Join(flags.Args(), " "))
	}
	return nil
}

// ParseFile sets flags from a settings file only.
func ParseFile(flags *flag.FlagSet, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return jsonc.FlagParser(name, flags, settingsFlag)(file, flags.Set)
}

// AddressFlag defines a flag for an IP address and port. If value is empty, the
// address is invalid until the flag is set.
func AddressFlag(flags *flag.FlagSet, name, value, usage string) *netip.AddrPort {
	address := new(netip.AddrPort)
	if value != "" {
		*address = netip.MustParseAddrPort(value)
		usage += " (default " + value + ")"
	}
	flags.Func(name, usage, func(text string) error {
		parsed, err := settings.ParseAddress(text)
		if err != nil {
			return err
		}
		*address = parsed
		return nil
	})
	return address
}
