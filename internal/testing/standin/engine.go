package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/rookpass/rookpass/internal/rookpassd/backend"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	// MaxConcurrency bounds the concurrent completions; further ones are rejected with 429. 0 means no bound.
	MaxConcurrency int
	// FirstToken is the delay before the first token, NextToken the delay between tokens.
	FirstToken, NextToken time.Duration
	// AnswerTokens bounds the length of an answer in tokens, in addition to the request's own limit. 0 means no bound.
	AnswerTokens int64
	// ChecksFencing makes the engine reject requests with a lower fencing token than the highest seen for their tag.
	ChecksFencing bool
}

// EngineFaults are the faults of an Engine. Tests set them with SetFaults, other processes with POST /faults.
type EngineFaults struct {
	// CutAfter ends each new stream after that number of events. 0 disables it.
	CutAfter int64 `json:"cut_after"`
	// ForgetStreams makes requests to resume a stream fail with 404.
	ForgetStreams bool `json:"forget_streams"`
	// Refuse rejects completions with 503.
	Refuse bool `json:"refuse"`
	// Hang sends no events after the headers.
	Hang bool `json:"hang"`
}

// bytesPerToken defines the engine's tokens: sequences of 4 bytes.
const bytesPerToken = 4

// Engine is a stand-in for a model engine. Its answers depend on the prompt only.
type Engine struct {
	options EngineOptions

	mu      sync.Mutex
	faults  EngineFaults
	running int
	// streams holds running and finished completions by request ID.
	streams map[string]*stream
	// holds holds cached prompts by tag.
	holds map[string][]byte
	// fencing holds the highest fencing token seen by tag.
	fencing map[string]uint64
	served  []Completed
}

// Completed is a finished completion, for the assertions of tests.
type Completed struct {
	RequestID string
	HoldTag   string
	CacheSalt string
	Usage     backend.Usage
	// Admitted is the time at which the engine accepted the completion.
	Admitted time.Time
}

// stream holds the events of a completion. changed is closed when events are added.
type stream struct {
	events   []backend.CompletionEvent
	admitted time.Time
	done     bool
	cancel   bool
	changed  chan struct{}
}

// NewEngine returns an engine with an empty cache.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options, streams: map[string]*stream{}, holds: map[string][]byte{}, fencing: map[string]uint64{},
	}
}

// SetFaults replaces the faults. Faults of a stream are fixed when it is opened.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Served returns the finished completions in the order of their ends.
func (e *Engine) Served() []Completed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Completed(nil), e.served...)
}

// HeldTags returns the tags that have cached prompts.
func (e *Engine) HeldTags() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tags []string
	for tag := range e.holds {
		tags = append(tags, tag)
	}
	return tags
}

// Handler returns the handler of the engine's HTTP API.
func (e *Engine) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/completions", e.complete)
	r.GET("/v1/completions/stream", e.resume)
	r.DELETE("/v1/completions", e.cancelCompletion)
	r.GET("/v1/holds", e.listHolds)
	r.DELETE("/v1/holds/{tag}", e.release)
	r.GET("/v1/holds/{tag}/export", e.export)
	r.PUT("/v1/holds/{tag}/import", e.importHold)
	r.POST("/faults", e.postFaults)
	return r.Handler
}

func (e *Engine) postFaults(ctx *fasthttp.RequestCtx) {
	var faults EngineFaults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var request backend.CompletionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	s, faults, status := e.admit(request)
	if status != http.StatusOK {
		ctx.SetStatusCode(status)
		return
	}
	go e.generate(request, s)
	e.send(ctx, s, 0, faults)
}

// admit accepts a completion and returns its stream, or returns the status of its rejection.
func (e *Engine) admit(request backend.CompletionRequest) (*stream, EngineFaults, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Refuse:
		return nil, e.faults, http.StatusServiceUnavailable
	case e.options.MaxConcurrency > 0 && e.running >= e.options.MaxConcurrency:
		return nil, e.faults, http.StatusTooManyRequests
	case e.options.ChecksFencing && request.FencingToken < e.fencing[request.HoldTag]:
		return nil, e.faults, http.StatusPreconditionFailed
	}
	e.fencing[request.HoldTag] = max(e.fencing[request.HoldTag], request.FencingToken)
	e.running++
	s := &stream{changed: make(chan struct{}), admitted: time.Now()}
	e.streams[request.RequestID] = s
	return s, e.faults, http.StatusOK
}

// generate adds the events of a completion with the configured delays, until it is finished or cancelled.
func (e *Engine) generate(request backend.CompletionRequest, s *stream) {
	usage := backend.Usage{
		PromptTokens: tokenCount(len(request.Prompt)),
		CachedTokens: e.cachedTokens(request),
	}
	count := request.MaxTokens
	if e.options.AnswerTokens > 0 {
		count = min(count, e.options.AnswerTokens)
	}
	answer := answerText(request.Prompt, count)
	time.Sleep(e.options.FirstToken)
	for i := range count {
		if i > 0 {
			time.Sleep(e.options.NextToken)
		}
		text := string(answer[i*bytesPerToken : (i+1)*bytesPerToken])
		if !e.emit(s, backend.CompletionEvent{Index: i, Text: text}) {
			break
		}
		usage.CompletionTokens++
	}
	e.finish(request, s, answer[:usage.CompletionTokens*bytesPerToken], usage)
}

// answerText returns at least count tokens of text that depend on the prompt only.
func answerText(prompt string, count int64) []byte {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(prompt))
	var text bytes.Buffer
	for i := int64(0); int64(text.Len()) < count*bytesPerToken; i++ {
		_, _ = fmt.Fprintf(&text, "w%07x ", (uint64(digest.Sum32())+uint64(i)*2654435761)&0xfffffff)
	}
	return text.Bytes()
}

func tokenCount(size int) int64 { return int64((size + bytesPerToken - 1) / bytesPerToken) }

// cachedTokens returns the length of the prompt's prefix that is cached for its tag, in tokens.
func (e *Engine) cachedTokens(request backend.CompletionRequest) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.holds[request.HoldTag]
	common := 0
	for common < min(len(held), len(request.Prompt)) && held[common] == request.Prompt[common] {
		common++
	}
	return int64(common / bytesPerToken)
}

// emit adds an event to a stream. It returns false if the completion was cancelled.
func (e *Engine) emit(s *stream, event backend.CompletionEvent) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.cancel {
		return false
	}
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (e *Engine) finish(request backend.CompletionRequest, s *stream, answer []byte, usage backend.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if request.HoldTag != "" {
		e.holds[request.HoldTag] = append([]byte(request.Prompt), answer...)
	}
	s.events = append(s.events, backend.CompletionEvent{Index: usage.CompletionTokens, Usage: &usage})
	s.done = true
	close(s.changed)
	e.served = append(e.served, Completed{request.RequestID, request.HoldTag, request.CacheSalt, usage, s.admitted})
}

func (e *Engine) resume(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	s, faults := e.streams[requestID(ctx)], e.faults
	e.mu.Unlock()
	if s == nil || faults.ForgetStreams {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	e.send(ctx, s, int(queryNumber(ctx, "from")), faults)
}

// send streams a completion's events, starting at an index, as server-sent events.
func (e *Engine) send(ctx *fasthttp.RequestCtx, s *stream, from int, faults EngineFaults) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if faults.Hang {
			<-s.hangTimeout()
		}
		for sent := int64(0); ; {
			events, done, changed := e.eventsFrom(s, from)
			for _, event := range events {
				if faults.CutAfter > 0 && sent >= faults.CutAfter {
					return
				}
				if writeEvent(w, event) != nil {
					return
				}
				from++
				sent++
			}
			if w.Flush() != nil || done {
				return
			}
			<-changed
		}
	})
}

// hangTimeout returns a channel that is closed after an hour, which is longer than any client waits.
func (s *stream) hangTimeout() <-chan struct{} {
	expired := make(chan struct{})
	time.AfterFunc(time.Hour, func() { close(expired) })
	return expired
}

func (e *Engine) eventsFrom(s *stream, from int) ([]backend.CompletionEvent, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.events[min(from, len(s.events)):], s.done, s.changed
}

func writeEvent(w *bufio.Writer, event backend.CompletionEvent) error {
	encoded, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", encoded)
	return err
}

func (e *Engine) cancelCompletion(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[requestID(ctx)]; s != nil {
		s.cancel = true
	}
}

func (e *Engine) listHolds(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	holds := []backend.Hold{}
	for tag, prompt := range e.holds {
		holds = append(holds, backend.Hold{Tag: tag, Tokens: tokenCount(len(prompt))})
	}
	e.mu.Unlock()
	respond(ctx, holds, nil)
}

func (e *Engine) release(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.holds, pathValue(ctx, "tag"))
}

func (e *Engine) export(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, found := e.holds[pathValue(ctx, "tag")]
	if !found {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	ctx.SetBody(held)
}

func (e *Engine) importHold(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds[pathValue(ctx, "tag")] = bytes.Clone(ctx.PostBody())
}

func requestID(ctx *fasthttp.RequestCtx) string { return string(ctx.QueryArgs().Peek("request_id")) }

func pathValue(ctx *fasthttp.RequestCtx, name string) string {
	value, _ := ctx.UserValue(name).(string)
	if decoded, err := url.PathUnescape(value); err == nil {
		return decoded
	}
	return value
}
