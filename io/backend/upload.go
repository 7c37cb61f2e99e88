package backend

import (
	"bytes"
	"io"
	"net/http"
)

// upload is a request body that is sent while the answer is awaited.
//
// A nil upload is finished.
type upload struct {
	done chan struct{}
	stop func()
	err  error
}

// finished reports whether the whole body was sent.
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

// wait returns once the body is no longer read.
func (u *upload) wait() {
	if u == nil {
		return
	}
	if u.stop != nil {
		u.stop()
	}
	<-u.done
}

// send writes the request. A held body is sent at once; a stream goes on in
// the upload that it returns.
func send(cn *conn, a Attempt) (*upload, error) {
	request := *a.Request
	if a.Stream == nil {
		request.Body = io.NopCloser(bytes.NewReader(a.Body))
		request.ContentLength = int64(len(a.Body))
		if len(a.Body) == 0 {
			request.Body = http.NoBody
		}
		return nil, writeRequest(cn, &request)
	}
	request.Body = io.NopCloser(a.Stream)
	up := &upload{done: make(chan struct{}), stop: a.StopStream}
	go func() {
		defer close(up.done)
		up.err = writeRequest(cn, &request)
		if up.err != nil {
			// Without its body the request gets no answer: end the wait.
			cn.Close()
		}
	}()
	return up, nil
}

func writeRequest(cn *conn, request *http.Request) error {
	if err := request.Write(cn.writer); err != nil {
		return err
	}
	return cn.writer.Flush()
}
