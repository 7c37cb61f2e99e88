// Package platform is an HTTP client of the platform's table service, object store
// and instance list.
//
// # Usage
//
//	client := platform.NewClient(address)
//	defer client.Close()
//	row, err := client.Row(ctx, platform.ConfigurationTable, platform.FleetKey)
//	if err != nil {
//		return err
//	}
//	_, err = client.PutRow(ctx, platform.ConfigurationTable, platform.FleetKey, row.Version, value)
//	return err
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"bronzestair/core/book"
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
)

// Names of the rows and objects that the system stores.
const (
	ConfigurationTable = "configuration"
	FleetKey           = "fleet"
	BooksPrefix        = "books/"
)

const (
	defaultTimeout     = 2 * time.Second
	maxResponseBytes   = 64 << 20
	rowVersionHeader   = "Row-Version"
	ifRowVersionHeader = "If-Row-Version"
)

// ErrNotFound is returned if a row or object does not exist.
var ErrNotFound = merry.New("the platform has no such row or object")

// ErrConflict is returned if a row does not have the expected version.
var ErrConflict = merry.New("the row does not have the expected version")

// ErrNotModified is returned if a value still has the given entity tag or version.
var ErrNotModified = merry.New("the value has not been modified")

// RowETag returns the entity tag of a row's version.
func RowETag(v RowVersion) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// RowVersion counts the writes of a row. It is 0 for a row that does not exist.
type RowVersion uint64

// Row is a row of the table service.
type Row struct {
	Version RowVersion
	Value   []byte
}

// Instance is an instance in the platform's list.
type Instance struct {
	ID      runner.ID `json:"id"`
	Leaving bool      `json:"leaving"`
}

// Client is a client of the platform. Use NewClient.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the platform at an address.
func NewClient(address netip.AddrPort) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{
		baseURL: "http://" + address.String(),
		http:    &http.Client{Transport: transport, Timeout: defaultTimeout},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Row reads a row. It returns ErrNotFound if there is none.
func (c *Client) Row(ctx context.Context, table, key string) (Row, error) {
	return c.row(ctx, table, key, "")
}

func (c *Client) row(ctx context.Context, table, key, etag string) (Row, error) {
	header, body, err := c.do(ctx, http.MethodGet, rowPath(table, key), ifNoneMatch(etag), nil)
	if err != nil {
		return Row{}, err
	}
	version, err := strconv.ParseUint(header.Get(rowVersionHeader), 10, 64)
	if err != nil {
		return Row{}, merry.Errorf("row %q of table %q has version %q", key, table, header.Get(rowVersionHeader))
	}
	return Row{Version: RowVersion(version), Value: body}, nil
}

// PutRow writes a row if it has the expected version, and returns the new version.
// It returns ErrConflict if the row has another version. After any other error the
// write may have taken effect.
func (c *Client) PutRow(ctx context.Context, table, key string, expected RowVersion, value []byte) (RowVersion, error) {
	precondition := http.Header{ifRowVersionHeader: {strconv.FormatUint(uint64(expected), 10)}}
	header, _, err := c.do(ctx, http.MethodPut, rowPath(table, key), precondition, value)
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(header.Get(rowVersionHeader), 10, 64)
	return RowVersion(version), err
}

// PutObject writes an object. The call is idempotent.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	_, _, err := c.do(ctx, http.MethodPut, "/objects/"+name, nil, value)
	return err
}

// Object reads an object.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	_, body, err := c.do(ctx, http.MethodGet, "/objects/"+name, nil, nil)
	return body, err
}

// Objects lists the names of the objects with a prefix, sorted.
func (c *Client) Objects(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := c.getJSON(ctx, "/objects?prefix="+url.QueryEscape(prefix), &names)
	return names, err
}

// Instances reads the list of instances and its entity tag. The list may be out of
// date. It returns ErrNotModified if the list still has the given tag.
func (c *Client) Instances(ctx context.Context, etag string) ([]Instance, string, error) {
	header, body, err := c.do(ctx, http.MethodGet, "/instances", ifNoneMatch(etag), nil)
	if err != nil {
		return nil, "", err
	}
	var list []Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, "", merry.Prepend(err, "decoding the list of instances")
	}
	return list, header.Get("ETag"), nil
}

// ifNoneMatch returns a header that requests a value only if its entity tag differs.
// It returns nil for an empty tag.
func ifNoneMatch(etag string) http.Header {
	if etag == "" {
		return nil
	}
	return http.Header{"If-None-Match": {etag}}
}

// Fleet reads the configuration. It returns ErrNotModified if the configuration
// still has the known version.
func (c *Client) Fleet(ctx context.Context, known fleet.Version) (*fleet.Fleet, error) {
	etag := ""
	if known > 0 {
		etag = RowETag(RowVersion(known))
	}
	row, err := c.row(ctx, ConfigurationTable, FleetKey, etag)
	if err != nil {
		return nil, err
	}
	record, err := decodeRecord(row)
	if err != nil {
		return nil, err
	}
	return &record.Fleet, nil
}

// PutBatch writes a batch of book lines. The call is idempotent.
func (c *Client) PutBatch(ctx context.Context, b book.Batch) error {
	value, err := json.Marshal(b)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%s/%s/%012d", BooksPrefix, b.Entry, b.Incarnation, b.Sequence)
	return c.PutObject(ctx, name, value)
}

// Batches reads all batches of book lines.
func (c *Client) Batches(ctx context.Context) ([]book.Batch, error) {
	names, err := c.Objects(ctx, BooksPrefix)
	if err != nil {
		return nil, err
	}
	batches := make([]book.Batch, len(names))
	for i, name := range names {
		value, err := c.Object(ctx, name)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(value, &batches[i]); err != nil {
			return nil, merry.Prependf(err, "decoding book batch %q", name)
		}
	}
	return batches, nil
}

func rowPath(table, key string) string {
	return "/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	_, body, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	// Without GetBody net/http cannot resend the body, so that it does not retry on
	// its own. A write may be sent only once.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, merry.Prependf(err, "%s %s", method, path)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, merry.Prependf(err, "%s %s", method, path)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, nil, ErrNotFound
	case response.StatusCode == http.StatusNotModified:
		return nil, nil, ErrNotModified
	case response.StatusCode == http.StatusConflict:
		return nil, nil, ErrConflict
	case response.StatusCode >= 300:
		return nil, nil, merry.Errorf("%s %s: the platform responded with status %s", method, path, response.Status)
	}
	return response.Header, responseBody, nil
}
