package bronzestair_test

import (
	"testing"

	"bronzestair/core/book"
	"bronzestair/standin"
)

// TestPlatformOutage has the platform go down and come back: requests are
// answered meanwhile, the configuration stays in force, and no book line is
// lost or doubled, though answers to the first filings get lost.
func TestPlatformOutage(t *testing.T) {
	h, d := startHeld(t, 1)
	serveOne := func(key string) {
		c := d.open(t, key)
		close((<-h.arrived).answer)
		if got := readAnswer(t, c); got != key {
			t.Errorf("the caller of %q got %q", key, got)
		}
	}
	serveOne("before")
	version := d.entry.Status().Version
	d.platform.SetFault(standin.Fault{Down: true})
	serveOne("during")
	if got := d.entry.Status().Version; got != version {
		t.Errorf("version %d is in force during the outage, not %d", got, version)
	}
	d.platform.SetFaultAt(standin.Fault{LoseAnswers: true}, 0, 3)
	serveOne("after")
	d.stop(t)
	d.checkVerdicts(t, map[book.Key]string{"before": "answered", "during": "answered", "after": "answered"})
}
