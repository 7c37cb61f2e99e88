package caller

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// FuzzParseCall checks that accepted values are within their limits and that
// rejected ones get a 4xx status and a detail.
func FuzzParseCall(f *testing.F) {
	f.Add("POST", "/seats/x?y=z", "key-1", "1.5s", "urgent", "lodge-7")
	f.Add("GET", "/seats", "", "", "", "")
	f.Fuzz(func(t *testing.T, method, target, key, timeout, urgency, name string) {
		head := strings.Join([]string{
			method + " " + target + " HTTP/1.1", "Host: a", HeaderIdempotencyKey + ": " + key, HeaderTimeout + ": " + timeout,
			HeaderUrgency + ": " + urgency, HeaderCaller + ": " + name, "", "",
		}, "\r\n")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			return
		}
		c, p := parseCall(r, true)
		if p != nil {
			if p.Status < 400 || p.Status > 499 || p.Detail == "" {
				t.Errorf("head %q is rejected with %+v", head, p)
			}
			return
		}
		if c.service == "" || len(c.key) > maxKeyLength || c.timeout < 0 || len(c.caller) > maxCallerLength || (!c.idempotent && c.key == "") {
			t.Errorf("head %q is accepted as %+v", head, c)
		}
	})
}
