package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// CompletionRequest is the body of POST /v1/completions, the common streaming completion API with extensions for
// resuming, holds and fencing.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority is higher for more urgent calls.
	Priority int32 `json:"priority"`
	// RequestID identifies the stream for resume and cancel.
	RequestID string `json:"request_id"`
	// CacheSalt prevents organisations from sharing cached prefixes.
	CacheSalt string `json:"cache_salt"`
	// HoldTag asks the engine to keep the prefix until the tag is released.
	HoldTag string `json:"hold_tag"`
	// FencingToken lets the engine refuse calls of a former owner.
	FencingToken uint64 `json:"fencing_token"`
}

// CompletionEvent is one server-sent event of a completion.
type CompletionEvent struct {
	// Index counts the events of a stream from 0.
	Index int64  `json:"index"`
	Text  string `json:"text,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
	Error string `json:"error,omitempty"`
}

// Usage is the token usage of a completion.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// Hold is cache that an engine keeps for a tag.
type Hold struct {
	Tag    string `json:"tag"`
	Tokens int64  `json:"tokens"`
}

// maxResumes is the number of times an interrupted stream is resumed at the same engine.
const maxResumes = 2

// cancelTimeout limits the request that cancels a completion.
const cancelTimeout = 2 * time.Second

// errStreamEnd means that a stream was interrupted before its usage event. Such a stream can be resumed.
var errStreamEnd = errors.New("stream ended before the usage event")

// Engine is the client of one model engine.
type Engine struct{ client *httpclient.Client }

// NewEngine returns a client. idle limits the time without any byte from the engine.
func NewEngine(addr string, dial httpclient.DialFunc, idle time.Duration) *Engine {
	return &Engine{client: httpclient.New(addr, dial, idle)}
}

// Complete runs a completion, passes its text to the text function and returns the usage. On error,
// CompletionTokens is the number of events received. An interrupted stream is resumed where it stopped.
func (e *Engine) Complete(ctx context.Context, completion CompletionRequest, text func([]byte)) (Usage, error) {
	completion.Stream = true
	body, err := json.Marshal(completion)
	if err != nil {
		return Usage{}, verdict.Refuse(verdict.Invalid, "completion: %v", err)
	}
	open := httpclient.Request{Method: http.MethodPost, Path: "/v1/completions", Body: body,
		Header: map[string]string{"Content-Type": "application/json"}}
	var next int64
	for resumes := 0; ; resumes++ {
		usage, err := e.stream(ctx, open, &next, text)
		if err == nil {
			return usage, nil
		}
		if ctx.Err() != nil {
			e.cancel(completion.RequestID)
		}
		if !errors.Is(err, errStreamEnd) || resumes == maxResumes || ctx.Err() != nil {
			return Usage{CompletionTokens: next}, callError(err)
		}
		open = httpclient.Request{Method: http.MethodGet, Path: streamPath(completion.RequestID, next)}
	}
}

// streamPath returns the path that resumes a completion. The request id is a query parameter because it may
// contain any character, including '/'.
func streamPath(requestID string, from int64) string {
	query := url.Values{"request_id": {requestID}, "from": {strconv.FormatInt(from, 10)}}
	return "/v1/completions/stream?" + query.Encode()
}

// callError gives an error without a verdict the verdict of a call that may have run.
func callError(err error) error {
	var typed *verdict.Error
	if errors.As(err, &typed) {
		return err
	}
	return verdict.Unknown(verdict.Unavailable, failureRetry, "engine: %v", err)
}

// stream reads one response. next is the index of the next event expected.
func (e *Engine) stream(ctx context.Context, open httpclient.Request, next *int64, text func([]byte)) (Usage, error) {
	resp, err := e.client.Do(ctx, open)
	if err != nil {
		return Usage{}, openError(open.Method, err)
	}
	if resp.Status != http.StatusOK {
		defer resp.Close()
		return Usage{}, statusError(resp, e.client.Addr(), open.Method)
	}
	events := make(chan CompletionEvent)
	stop := make(chan struct{})
	defer close(stop)
	go readEvents(resp, events, stop)
	for {
		select {
		case event, more := <-events:
			if !more && !guard.Enabled(guard.CompleteStream) {
				return Usage{CompletionTokens: *next}, nil
			}
			if !more {
				return Usage{}, errStreamEnd
			}
			if event.Error != "" {
				return Usage{}, verdict.Unknown(verdict.Unavailable, failureRetry, "engine: %s", event.Error)
			}
			if event.Index < *next {
				continue // Received before the stream was resumed.
			}
			if event.Index > *next {
				return Usage{}, errStreamEnd // Events before this one are missing, so that the answer is not complete.
			}
			if event.Usage != nil {
				return *event.Usage, nil
			}
			*next++
			text([]byte(event.Text))
		case <-ctx.Done():
			return Usage{}, verdict.Unknown(verdict.Timeout, failureRetry, "generation was cancelled: %v", context.Cause(ctx))
		}
	}
}

// openError gives a failure to open a stream its verdict. After a failed resume the call may be resumed again.
func openError(method string, err error) error {
	if method == http.MethodPost {
		return sendError(err)
	}
	return fmt.Errorf("%w: %w", errStreamEnd, err)
}

// statusError returns the error of a response with a status other than 200. For a resume, which is a GET, the
// call may have run whatever the status.
func statusError(resp *httpclient.Response, addr, method string) error {
	if method == http.MethodPost {
		if err := refusal(addr, resp); err != nil {
			return err
		}
		if resp.Status == http.StatusPreconditionFailed {
			return verdict.RetryLater(verdict.NotOwner, busyRetry, "%s refused the fencing token", addr)
		}
		if resp.Status < http.StatusInternalServerError {
			return verdict.Refuse(verdict.Invalid, "%s answered %d", addr, resp.Status)
		}
	}
	return verdict.Unknown(verdict.Unavailable, failureRetry, "%s answered %d", addr, resp.Status)
}

// readEvents reads server-sent events until the stream ends. An event ends with an empty line; one that the end of the
// stream cuts is dropped, also if its data is complete.
func readEvents(resp *httpclient.Response, events chan<- CompletionEvent, stop <-chan struct{}) {
	defer resp.Close()
	defer close(events)
	reader := bufio.NewReader(resp.Body)
	for {
		data, err := readEvent(reader)
		if err != nil {
			return
		}
		var event CompletionEvent
		if json.Unmarshal(data, &event) != nil {
			return
		}
		select {
		case events <- event:
		case <-stop:
			return
		}
	}
}

// readEvent returns the data of the next event that has any. Several data lines are joined by line feeds.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var lines [][]byte
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return nil, err
		}
		line = bytes.TrimSpace(line)
		if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
			lines = append(lines, data)
		}
		if len(line) == 0 && len(lines) > 0 {
			return bytes.Join(lines, []byte("\n")), nil
		}
	}
}

// cancel tells the engine to stop a completion. Errors are ignored.
func (e *Engine) cancel(requestID string) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	resp, err := e.client.Do(ctx, httpclient.Request{Method: http.MethodDelete, Path: "/v1/completions?request_id=" + url.QueryEscape(requestID)})
	if err == nil {
		resp.Close()
	}
}

// ListHolds returns all holds of the engine.
func (e *Engine) ListHolds(ctx context.Context) ([]Hold, error) {
	body, err := e.do(ctx, http.MethodGet, "/v1/holds", nil)
	if err != nil {
		return nil, err
	}
	var holds []Hold
	if err := json.Unmarshal(body, &holds); err != nil {
		return nil, callError(err)
	}
	return holds, nil
}

// Release releases the hold of a tag. It succeeds if there is none.
func (e *Engine) Release(ctx context.Context, tag string) error {
	_, err := e.do(ctx, http.MethodDelete, "/v1/holds/"+url.PathEscape(tag), nil)
	return err
}

// ExportCache returns the cache held for a tag, in the engine's own format.
func (e *Engine) ExportCache(ctx context.Context, tag string) ([]byte, error) {
	return e.do(ctx, http.MethodGet, "/v1/holds/"+url.PathEscape(tag)+"/export", nil)
}

// ImportCache loads cache that another engine exported for a tag.
func (e *Engine) ImportCache(ctx context.Context, tag string, exported []byte) error {
	_, err := e.do(ctx, http.MethodPut, "/v1/holds/"+url.PathEscape(tag)+"/import", exported)
	return err
}

func (e *Engine) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	resp, err := e.client.Do(ctx, httpclient.Request{Method: method, Path: path, Body: body})
	if err != nil {
		return nil, sendError(err)
	}
	answer, err := resp.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		return nil, callError(err)
	}
	if resp.Status >= http.StatusMultipleChoices {
		return nil, verdict.Unknown(verdict.Unavailable, failureRetry, "%s answered %d", e.client.Addr(), resp.Status)
	}
	return answer, nil
}

// Close closes the client's idle connections.
func (e *Engine) Close() { e.client.Close() }
