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

// Answers of the API. Version replaces that of the embedded type, so that an answer without one is recognised: its
// content is not that of the API.
type (
	objectAnswer struct {
		objectapi.Object
		Version *uint64 `json:"version"`
	}
	listAnswer struct {
		objectapi.Snapshot
		Version *uint64 `json:"version"`
	}
	watchAnswer struct {
		objectapi.Batch
		Version *uint64 `json:"version"`
	}
)

// version returns the version of an answer. If there is none, the error wraps ambiguous.
func version(answered *uint64, ambiguous error) (uint64, error) {
	if answered == nil {
		return 0, fmt.Errorf("%w: the answer has no version", ambiguous)
	}
	return *answered, nil
}

// Get implements objectapi.API.
func (c *Client) Get(ctx context.Context, key string) (objectapi.Object, error) {
	c.stats.Reads.Add(1)
	r := httpclient.Request{Method: http.MethodGet, Path: objectPath(key)}
	return c.object(ctx, r, objectapi.ErrUnavailable)
}

// object sends a request that is answered with an object. An answer without a version is the given error.
func (c *Client) object(ctx context.Context, r httpclient.Request, ambiguous error) (objectapi.Object, error) {
	var answer objectAnswer
	if err := c.do(ctx, requestTimeout, r, &answer); err != nil {
		return objectapi.Object{}, err
	}
	var err error
	answer.Object.Version, err = version(answer.Version, ambiguous)
	return answer.Object, err
}

// List implements objectapi.API.
func (c *Client) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	c.stats.Reads.Add(1)
	var answer listAnswer
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	if err := c.do(ctx, requestTimeout, httpclient.Request{Method: http.MethodGet, Path: path}, &answer); err != nil {
		return objectapi.Snapshot{}, err
	}
	var err error
	answer.Snapshot.Version, err = version(answer.Version, objectapi.ErrUnavailable)
	return answer.Snapshot, err
}

// Put implements objectapi.API.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, objectapi.ErrTooLarge
	}
	c.stats.Writes.Add(1)
	r := httpclient.Request{Method: http.MethodPut, Path: conditionalPath(key, ifVersion), Body: value}
	return c.object(ctx, r, objectapi.ErrUnknownOutcome)
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
	var answer watchAnswer
	r := httpclient.Request{Method: http.MethodGet, Path: "/v1/watch?" + query.Encode()}
	if err := c.do(ctx, wait+watchMargin, r, &answer); err != nil {
		return objectapi.Batch{}, err
	}
	var err error
	answer.Batch.Version, err = version(answer.Version, objectapi.ErrUnavailable)
	return answer.Batch, err
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
