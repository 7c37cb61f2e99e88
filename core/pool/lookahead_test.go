package pool

import "testing"

// TestLookaheadNeedsOrganisations guards against a deployment without organisations that is
// scheduled differently although nobody has asked for it.
func TestLookaheadNeedsOrganisations(t *testing.T) {
	for _, c := range []struct {
		text                     string
		without, with, malformed bool
	}{
		{text: "auto", with: true},
		{text: "on", without: true, with: true},
		{text: "off"},
		{text: "yes", malformed: true},
	} {
		var l Lookahead
		if err := l.Set(c.text); (err != nil) != c.malformed {
			t.Errorf("Set(%q) = %v, want an error: %v", c.text, err, c.malformed)
			continue
		}
		if c.malformed {
			continue
		}
		if got := l.Enabled(false); got != c.without {
			t.Errorf("%s without organisations = %v, want %v", l, got, c.without)
		}
		if got := l.Enabled(true); got != c.with {
			t.Errorf("%s with organisations = %v, want %v", l, got, c.with)
		}
	}
}
