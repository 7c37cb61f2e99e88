package intake

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// maxChunkLine is the maximum length of a chunk-size or trailer line, in bytes.
const maxChunkLine = 4 << 10

// framingState is the part of a request that comes next in the byte stream.
type framingState uint8

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// framing tracks request boundaries in a byte stream (RFC 9112). It rejects
// every head that two parsers could interpret differently.
//
// The zero value expects the start of a head.
type framing struct {
	state framingState
	// remaining is the number of bytes of the body or chunk still to come.
	remaining int64
	// scanned is the number of bytes of an incomplete head that have been checked.
	scanned int
	// completed is the number of requests whose end has been accepted.
	completed int
}

// advance checks unverified bytes and returns how many of them are valid and can
// be passed on.
func (f *framing) advance(data []byte, maxHead int) (int, *Rejection) {
	accepted := 0
	for {
		n, p := f.step(data[accepted:], maxHead)
		accepted += n
		if n > 0 && f.state == inHead {
			f.completed++
		}
		if p != nil || n == 0 {
			return accepted, p
		}
	}
}

func (f *framing) step(data []byte, maxHead int) (int, *Rejection) {
	switch f.state {
	case inHead:
		return f.head(data, maxHead)
	case inBody, inChunk:
		return f.content(data), nil
	case inChunkSize:
		return f.chunkSize(data)
	case inChunkEnd:
		return f.chunkEnd(data)
	default:
		return f.trailer(data)
	}
}

// content consumes bytes of the current body or chunk and returns their number.
func (f *framing) content(data []byte) int {
	n := min(f.remaining, int64(len(data)))
	f.remaining -= n
	if f.remaining > 0 {
		return int(n)
	}
	if f.state == inBody {
		f.state = inHead
	} else {
		f.state = inChunkEnd
	}
	return int(n)
}

func (f *framing) head(data []byte, maxHead int) (int, *Rejection) {
	// A head that arrives in single bytes is not searched from its beginning each time.
	from := max(0, f.scanned-len(headEnd)+1)
	end := bytes.Index(data[from:], headEnd)
	if end >= 0 {
		end += from
	}
	if end > maxHead || (end < 0 && len(data) > maxHead) {
		return 0, reject(http.StatusRequestHeaderFieldsTooLarge, "the head has more than %d bytes", maxHead)
	}
	if end < 0 {
		p := checkLineEndings(data, f.scanned)
		f.scanned = len(data)
		return 0, p
	}
	f.scanned = 0
	length, chunked, p := parseFraming(data[:end])
	if p != nil {
		return 0, p
	}
	switch {
	case chunked:
		f.state = inChunkSize
	case length > 0:
		f.state = inBody
		f.remaining = length
	}
	return end + len(headEnd), nil
}

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// checkLineEndings rejects a head with a line that ends in a bare line feed, from the given
// index on.
func checkLineEndings(data []byte, from int) *Rejection {
	for i := from; i < len(data); i++ {
		if data[i] == '\n' && (i == 0 || data[i-1] != '\r') {
			return badRequest("a line of the head ends without a carriage return")
		}
	}
	return nil
}

// framingFields holds the headers that determine the framing of a request, and
// how often each occurs.
type framingFields struct {
	length        int64
	lengthCount   int
	chunked       bool
	encodingCount int
	hostCount     int
}

// parseFraming parses the headers that determine the length of the body. It also
// rejects everything that net/http would reject without a problem document.
func parseFraming(head []byte) (length int64, chunked bool, p *Rejection) {
	start, rest, _ := bytes.Cut(head, crlf)
	version, p := checkRequestLine(start)
	if p != nil {
		return 0, false, p
	}
	var fields framingFields
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, crlf)
		if p := fields.add(line); p != nil {
			return 0, false, p
		}
	}
	switch {
	case fields.lengthCount > 1:
		p = badRequest("header Content-Length stands %d times", fields.lengthCount)
	case fields.encodingCount > 1:
		p = badRequest("header Transfer-Encoding stands %d times", fields.encodingCount)
	case fields.lengthCount > 0 && fields.encodingCount > 0:
		p = badRequest("headers Content-Length and Transfer-Encoding exclude each other")
	case fields.encodingCount > 0 && version != "HTTP/1.1":
		p = badRequest("header Transfer-Encoding needs HTTP/1.1")
	case fields.hostCount > 1 || (fields.hostCount == 0 && version == "HTTP/1.1"):
		p = badRequest("header Host stands %d times", fields.hostCount)
	}
	return fields.length, fields.chunked, p
}

// add parses one header line.
func (f *framingFields) add(line []byte) (p *Rejection) {
	name, value, p := splitHeader(line)
	if p != nil {
		return p
	}
	switch {
	case isHeader(name, "Content-Length"):
		f.lengthCount++
		f.length, p = parseContentLength(value)
	case isHeader(name, "Transfer-Encoding"):
		f.encodingCount++
		f.chunked = bytes.EqualFold(value, []byte("chunked"))
		if !f.chunked {
			p = reject(http.StatusNotImplemented, "transfer encoding %q is not served", value)
		}
	case isHeader(name, "Host"):
		f.hostCount++
		if !httpguts.ValidHostHeader(string(value)) {
			p = badRequest("header Host is %q, which is no host", value)
		}
	case isHeader(name, "Expect"):
		if !bytes.EqualFold(value, []byte("100-continue")) {
			p = reject(http.StatusExpectationFailed, "expectation %q is not met", value)
		}
	}
	return p
}

func isHeader(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// checkRequestLine checks method, target and version, and returns the version.
func checkRequestLine(line []byte) (version string, p *Rejection) {
	if p := checkLineEndings(line, 0); p != nil {
		return "", p
	}
	method, rest, methodFound := bytes.Cut(line, []byte(" "))
	target, protocol, targetFound := bytes.Cut(rest, []byte(" "))
	if !methodFound || !targetFound || !httpguts.ValidHeaderFieldName(string(method)) {
		return "", badRequest("line %q is not a method, a target and a version", line)
	}
	version = string(protocol)
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", reject(http.StatusHTTPVersionNotSupported, "version %q is not served", protocol)
	}
	if isSimpleTarget(target) {
		return version, nil
	}
	if _, err := url.ParseRequestURI(string(target)); err != nil {
		return "", badRequest("target %q is no path", target)
	}
	return version, nil
}

// isSimpleTarget reports whether a target is a path of characters that need no
// further parsing.
func isSimpleTarget(target []byte) bool {
	if len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, c := range target {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && bytes.IndexByte([]byte("/._-~?=&"), c) < 0 {
			return false
		}
	}
	return true
}

// splitHeader validates a header line and returns its name and value.
func splitHeader(line []byte) (name, value []byte, p *Rejection) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return nil, nil, badRequest("a line of the head is no header")
	}
	name = line[:colon]
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, nil, badRequest("header name %q has a character that is not allowed", name)
	}
	value = bytes.Trim(line[colon+1:], " \t")
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return nil, nil, badRequest("the value of header %q has a control character", name)
	}
	return name, value, nil
}

func parseContentLength(value []byte) (int64, *Rejection) {
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, badRequest("header Content-Length is %q, not a number", value)
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return 0, badRequest("header Content-Length is %q, not a number in range", value)
	}
	return n, nil
}

func (f *framing) chunkSize(data []byte) (int, *Rejection) {
	line, n, p := completeLine(data)
	if n == 0 || p != nil {
		return 0, p
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseInt(string(bytes.TrimRight(digits, " \t")), 16, 64)
	if err != nil || digits[0] == '+' || digits[0] == '-' {
		return 0, badRequest("chunk size %q is not a number", digits)
	}
	f.remaining = size
	f.state = inChunk
	if size == 0 {
		f.state = inTrailer
	}
	return n, nil
}

func (f *framing) chunkEnd(data []byte) (int, *Rejection) {
	if len(data) < len(crlf) {
		return 0, nil
	}
	if !bytes.HasPrefix(data, crlf) {
		return 0, badRequest("a chunk is longer than its size")
	}
	f.state = inChunkSize
	return len(crlf), nil
}

func (f *framing) trailer(data []byte) (int, *Rejection) {
	line, n, p := completeLine(data)
	if n == 0 || p != nil {
		return 0, p
	}
	if len(line) == 0 {
		f.state = inHead
		return n, nil
	}
	if _, _, p := splitHeader(line); p != nil {
		return 0, p
	}
	return n, nil
}

// completeLine returns the first line without its CRLF and its length including
// the CRLF, 0 if the line is not complete yet.
func completeLine(data []byte) (line []byte, n int, p *Rejection) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(data) > maxChunkLine {
			return nil, 0, badRequest("a chunk's line has more than %d bytes", maxChunkLine)
		}
		return nil, 0, nil
	}
	if end == 0 || data[end-1] != '\r' {
		return nil, 0, badRequest("a chunk's line ends without a carriage return")
	}
	return data[:end-1], end + 1, nil
}
