package caller

import (
	"bronzestair/io/intake"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxBufferedBody is the largest part of a request body, in bytes, that an
// entry keeps in memory.
const maxBufferedBody = 64 << 10

// firstBufferedBytes is the size of the first buffer for a body of unknown length. Buffers
// double up to maxBufferedBody.
const firstBufferedBytes = 4 << 10

// body is a request body: either fully buffered, or a stream that starts with
// the part read so far.
type body struct {
	buffered []byte
	stream   *countingReader
	length   int64
}

// countingReader counts the bytes read from a body.
type countingReader struct {
	io.Reader
	read int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read += int64(n)
	return n, err
}

// consumed reports whether a part of the body was read and cannot be sent again.
func (b *body) consumed() bool { return b.stream != nil && b.stream.read > 0 }

// readBody buffers a small body and returns a large one as a stream.
func readBody(r *http.Request, limit int64) (body, *problem) {
	b := body{length: r.ContentLength}
	switch {
	case r.ContentLength > limit:
		return b, newProblem(http.StatusRequestEntityTooLarge, "body has %d bytes, over %d", r.ContentLength, limit)
	case r.ContentLength == 0:
		return b, nil
	case r.ContentLength > maxBufferedBody:
		b.stream = &countingReader{Reader: r.Body}
		return b, nil
	case r.ContentLength > 0:
		b.buffered = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, b.buffered)
		return b, bodyReadProblem(err)
	}
	return readChunked(r, b)
}

// readChunked reads a body of unknown length. It buffers a body of less than
// maxBufferedBody bytes and returns a longer one as a stream.
func readChunked(r *http.Request, b body) (body, *problem) {
	buffer := make([]byte, 0, firstBufferedBytes)
	for len(buffer) < maxBufferedBody {
		if len(buffer) == cap(buffer) {
			buffer = append(make([]byte, 0, min(2*cap(buffer), maxBufferedBody)), buffer...)
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			b.buffered = buffer
			b.length = int64(len(buffer))
			return b, nil
		}
		if err != nil {
			return b, bodyReadProblem(err)
		}
	}
	b.stream = &countingReader{Reader: io.MultiReader(bytes.NewReader(buffer), r.Body)}
	return b, nil
}

// bodyReadProblem returns the problem document for a body that is too large or
// was not received completely, nil if err is nil.
func bodyReadProblem(err error) *problem {
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newProblem(http.StatusRequestEntityTooLarge, "body has more than %d bytes", tooLarge.Limit)
	}
	var givenUp *intake.Error
	if errors.As(err, &givenUp) {
		return newProblem(givenUp.Status(), "%v", givenUp)
	}
	return badRequest("body did not come whole: %v", err)
}
