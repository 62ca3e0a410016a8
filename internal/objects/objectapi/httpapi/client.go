// Package httpapi implements the object API's client over HTTP. docs/DESIGN.md lists its requests.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// Limits of one request.
const (
	requestTimeout = 2 * time.Second
	// idleTimeout exceeds the longest wait of a watch.
	idleTimeout = 30 * time.Second
	// maxResponseBytes limits the body of a list.
	maxResponseBytes = 256 << 20
)

// watchMargin is added to the wait of a watch for its total timeout.
const watchMargin = time.Second

// Client implements objectapi.API over HTTP. Use New.
type Client struct {
	client *httpclient.Client
	stats  Stats
}

// Stats counts the requests sent.
type Stats struct {
	Reads   atomic.Int64
	Writes  atomic.Int64
	Watches atomic.Int64
}

// New returns a client of the object API at an IP:port address.
func New(addr string, dial httpclient.DialFunc) *Client {
	return &Client{client: httpclient.New(addr, dial, idleTimeout)}
}

// Stats returns the live counters.
func (c *Client) Stats() *Stats { return &c.stats }

// Close closes idle connections.
func (c *Client) Close() { c.client.Close() }

// Get implements objectapi.API.
func (c *Client) Get(ctx context.Context, key string) (objectapi.Object, error) {
	c.stats.Reads.Add(1)
	var object objectapi.Object
	err := c.do(ctx, requestTimeout, httpclient.Request{Method: http.MethodGet, Path: objectPath(key)}, &object)
	return object, err
}

// List implements objectapi.API.
func (c *Client) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	c.stats.Reads.Add(1)
	var snapshot objectapi.Snapshot
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	err := c.do(ctx, requestTimeout, httpclient.Request{Method: http.MethodGet, Path: path}, &snapshot)
	return snapshot, err
}

// Put implements objectapi.API.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, objectapi.ErrTooLarge
	}
	c.stats.Writes.Add(1)
	var object objectapi.Object
	r := httpclient.Request{Method: http.MethodPut, Path: conditionalPath(key, ifVersion), Body: value}
	err := c.do(ctx, requestTimeout, r, &object)
	return object, err
}

// Delete implements objectapi.API.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) (uint64, error) {
	c.stats.Writes.Add(1)
	var object objectapi.Object
	r := httpclient.Request{Method: http.MethodDelete, Path: conditionalPath(key, ifVersion)}
	err := c.do(ctx, requestTimeout, r, &object)
	return object.Version, err
}

// Wait implements objectapi.API.
func (c *Client) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	c.stats.Watches.Add(1)
	query := url.Values{
		"prefix":  prefixes,
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var batch objectapi.Batch
	r := httpclient.Request{Method: http.MethodGet, Path: "/v1/watch?" + query.Encode()}
	err := c.do(ctx, wait+watchMargin, r, &batch)
	return batch, err
}

func objectPath(key string) string { return "/v1/objects/" + key }

func conditionalPath(key string, version uint64) string {
	return objectPath(key) + "?version=" + strconv.FormatUint(version, 10)
}

// do sends a request and decodes its response into result. A failure that leaves the outcome of a write open is
// ErrUnknownOutcome.
func (c *Client) do(ctx context.Context, timeout time.Duration, r httpclient.Request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ambiguous := objectapi.ErrUnavailable
	if r.Method != http.MethodGet {
		ambiguous = objectapi.ErrUnknownOutcome
	}
	resp, err := c.client.Do(ctx, r)
	if errors.Is(err, httpclient.ErrNotSent) {
		return fmt.Errorf("%w: %w", objectapi.ErrUnavailable, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ambiguous, err)
	}
	body, err := resp.ReadAll(ctx, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ambiguous, err)
	}
	if err := objectapi.ErrorFromStatus(resp.Status, ambiguous); err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%w: %w", ambiguous, err)
	}
	return nil
}
