package backend

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
)

// upload is a request body that is sent while the response is awaited.
//
// A nil upload counts as finished.
type upload struct {
	done chan struct{}
	stop func()
	err  error
}

// finished reports whether the complete body was sent.
func (u *upload) finished() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// wait stops the upload and returns once the body is no longer read.
func (u *upload) wait() {
	if u == nil {
		return
	}
	if u.stop != nil {
		u.stop()
	}
	<-u.done
}

// writeRequest writes the request. A buffered body is written before it returns;
// a stream is written in the background by the returned upload.
func writeRequest(cn *conn, a Attempt) (*upload, error) {
	if a.Stream == nil {
		return nil, writeBuffered(cn, a.Request, a.Body)
	}
	request := *a.Request
	request.Body = io.NopCloser(a.Stream)
	up := &upload{done: make(chan struct{}), stop: a.StopStream}
	go func() {
		defer close(up.done)
		up.err = request.Write(cn.writer)
		if up.err == nil {
			up.err = cn.writer.Flush()
		}
		if up.err != nil {
			// The server will not respond to an incomplete request, so unblock
			// the read of the response.
			cn.Close()
		}
	}()
	return up, nil
}

// writeBuffered writes a request with a buffered body. It does what
// http.Request.Write does for such a body, without its allocations.
func writeBuffered(cn *conn, request *http.Request, body []byte) error {
	w := cn.writer
	writeStrings(w, request.Method, " ", request.URL.RequestURI(), " HTTP/1.1\r\nHost: ", request.Host, "\r\n")
	if len(body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		writeStrings(w, "Content-Length: ", strconv.Itoa(len(body)), "\r\n")
	}
	for name, values := range request.Header {
		for _, value := range values {
			writeStrings(w, name, ": ", value, "\r\n")
		}
	}
	writeStrings(w, "\r\n")
	// A bufio.Writer keeps its first error, so Flush reports it.
	_, _ = w.Write(body)
	return w.Flush()
}

func writeStrings(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = w.WriteString(part)
	}
}
