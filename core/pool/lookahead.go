package pool

import "fmt"

// Lookahead selects whether slow tasks of speculative steps are restarted elsewhere, whether racks
// are left to the tasks that have their data there, and whether moves between pools follow a forecast of demand that rotates.
type Lookahead uint8

// The settings of Lookahead.
const (
	// LookaheadAuto looks ahead while the configuration has organisations.
	LookaheadAuto Lookahead = iota
	LookaheadOn
	LookaheadOff
)

var lookaheadNames = [...]string{LookaheadAuto: "auto", LookaheadOn: "on", LookaheadOff: "off"}

func (l Lookahead) String() string { return lookaheadNames[l] }

// Set implements flag.Value.
func (l *Lookahead) Set(text string) error {
	for setting, name := range lookaheadNames {
		if name == text {
			*l = Lookahead(setting)
			return nil
		}
	}
	return fmt.Errorf("%q is not one of auto, on and off", text)
}

// Enabled reports whether to look ahead under a configuration with or without organisations.
func (l Lookahead) Enabled(organisations bool) bool {
	return l == LookaheadOn || l == LookaheadAuto && organisations
}

// looksAhead reports whether look-ahead is enabled under the configuration in force.
func (p *Pool) looksAhead() bool { return p.options.Lookahead.Enabled(p.organisations != nil) }
