package intake

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var framingSeeds = []string{
	"GET /seats/x HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /seats/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: b\r\n\r\n",
	"POST /seats/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n",
	"POST /seats/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
}

// FuzzFramingAgreesWithLibrary checks that net/http reads whatever the framing
// accepts as a complete request as a request of the same length.
func FuzzFramingAgreesWithLibrary(f *testing.F) {
	for _, seed := range framingSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		passed, requests, ended := acceptedPrefix(data)
		reader := bufio.NewReader(bytes.NewReader(data[:passed]))
		read := 0
		for range requests {
			request, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatalf("framing accepts request %d of %q, net/http returns %v", read, data[:passed], err)
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				t.Fatalf("framing accepts the body of request %d of %q, net/http returns %v", read, data[:passed], err)
			}
			read++
		}
		if rest, _ := io.ReadAll(reader); ended && len(rest) > 0 {
			t.Fatalf("net/http leaves %q of %q unread", rest, data[:passed])
		}
	})
}

// acceptedPrefix returns how many bytes the framing accepts, how many complete
// requests they contain, and whether they end at the end of a request.
func acceptedPrefix(data []byte) (passed, requests int, ended bool) {
	var f framing
	for {
		n, p := f.step(data[passed:], 1<<20)
		if p != nil || n == 0 {
			return passed, requests, f.state == inHead
		}
		passed += n
		if f.state == inHead {
			requests++
		}
	}
}

// TestFramingIsIndependentOfReadSizes checks that input in single bytes gives
// the same result as input in one piece.
func TestFramingIsIndependentOfReadSizes(t *testing.T) {
	for _, seed := range framingSeeds {
		atOnce, atOnceProblem := (&framing{}).advance([]byte(seed), 1<<20)
		var f framing
		byteByByte := 0
		var p *Rejection
		for end := 1; end <= len(seed) && p == nil; end++ {
			var n int
			n, p = f.advance([]byte(seed)[byteByByte:end], 1<<20)
			byteByByte += n
		}
		if diff := cmp.Diff(atOnceProblem, p); diff != "" || byteByByte != atOnce {
			t.Errorf("request %q: %d bytes at once, %d byte by byte, problem (-at once +byte by byte):\n%s", seed, atOnce, byteByByte, diff)
		}
	}
}
