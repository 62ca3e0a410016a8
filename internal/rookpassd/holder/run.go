package holder

import (
	"context"
	"sync"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// maxOutputBytes limits the output of one call, so that its record fits into a segment.
const maxOutputBytes = 512 << 10

// chunkBytes is the maximum size of one event when stored output is replayed.
const chunkBytes = 64 << 10

// run is a running call. Any number of callers can follow it.
type run struct {
	call   *rookpassv1.CallRequest
	cancel context.CancelFunc
	// remote marks a call that runs at an earlier owner of the partition, which will report its outcome.
	remote bool

	mu     sync.Mutex
	output []byte
	// dropped is the number of bytes that exceeded maxOutputBytes.
	dropped int
	final   *rookpassv1.CallFinal
	// finished is the stored record of the call; nil if there is none.
	finished *peerv1.Finished
	err      error
	done     bool
	changed  chan struct{}
}

func newRun(call *rookpassv1.CallRequest, cancel context.CancelFunc) *run {
	return &run{call: call, cancel: cancel, changed: make(chan struct{})}
}

// write appends text to the output, up to maxOutputBytes, and wakes the followers. It counts the bytes that it drops.
func (r *run) write(text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := min(maxOutputBytes-len(r.output), len(text))
	r.output = append(r.output, text[:kept]...)
	r.dropped += len(text) - kept
	r.notify()
}

// text returns the output so far.
func (r *run) text() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output[:len(r.output):len(r.output)]
}

// droppedBytes returns the number of bytes dropped so far.
func (r *run) droppedBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// complete ends the run with its record and final event, or with an error.
func (r *run) complete(finished *peerv1.Finished, final *rookpassv1.CallFinal, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished, r.final, r.err, r.done = finished, final, err, true
	r.notify()
}

// await waits until the run has ended and returns its record.
func (r *run) await(ctx context.Context) (*peerv1.Finished, error) {
	ignore := func(*peerv1.ExecuteEvent) error { return nil }
	if err := r.follow(ctx, 0, ignore); err != nil {
		return nil, err
	}
	return r.finished, nil
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// outputFrom returns the output from an offset on, whether the run has ended, and a channel that is closed at the
// next change.
func (r *run) outputFrom(offset int) (text []byte, done bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < len(r.output) {
		text = r.output[offset:len(r.output):len(r.output)]
	}
	return text, r.done, r.changed
}

// follow sends the output from an offset on until the run ends, then the final event or the run's error.
func (r *run) follow(ctx context.Context, offset int, send func(*peerv1.ExecuteEvent) error) error {
	for {
		text, done, changed := r.outputFrom(offset)
		if len(text) > 0 {
			if err := send(chunkEvent(offset, text)); err != nil {
				return err
			}
			offset += len(text)
			continue
		}
		if done {
			if r.err != nil {
				return r.err
			}
			return send(finalEvent(r.final))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.Unknown(verdict.Timeout, ownerRetry, "deadline exceeded; the call is still running")
		}
	}
}

// replay sends the stored output of a finished call from an offset on, then the final event.
func replay(finished *peerv1.Finished, final *rookpassv1.CallFinal, offset int, send func(*peerv1.ExecuteEvent) error) error {
	for offset < len(finished.Output) {
		end := min(offset+chunkBytes, len(finished.Output))
		if err := send(chunkEvent(offset, finished.Output[offset:end])); err != nil {
			return err
		}
		offset = end
	}
	return send(finalEvent(final))
}

func chunkEvent(offset int, data []byte) *peerv1.ExecuteEvent {
	chunk := &rookpassv1.CallChunk{Offset: int64(offset), Data: data}
	return callEvent(&rookpassv1.CallEvent{Event: &rookpassv1.CallEvent_Chunk{Chunk: chunk}})
}

func finalEvent(final *rookpassv1.CallFinal) *peerv1.ExecuteEvent {
	return callEvent(&rookpassv1.CallEvent{Event: &rookpassv1.CallEvent_Final{Final: final}})
}

func callEvent(event *rookpassv1.CallEvent) *peerv1.ExecuteEvent {
	return &peerv1.ExecuteEvent{Event: &peerv1.ExecuteEvent_Call{Call: event}}
}

func sendProgram(view *rookpassv1.Program, err error, send func(*peerv1.ExecuteEvent) error) error {
	if err != nil {
		return err
	}
	return send(&peerv1.ExecuteEvent{Event: &peerv1.ExecuteEvent_Program{Program: view}})
}

// finalOf returns the final event of a finished call.
func finalOf(programID string, finished *peerv1.Finished, spent int64) *rookpassv1.CallFinal {
	return &rookpassv1.CallFinal{
		ProgramId:        programID,
		RequestId:        finished.Call.RequestId,
		Sequence:         finished.Call.Sequence,
		Verdict:          finished.Verdict,
		Length:           int64(len(finished.Output)),
		PromptTokens:     finished.PromptTokens,
		CompletionTokens: finished.CompletionTokens,
		CachedTokens:     finished.CachedTokens,
		SpentTokens:      spent,
		Failure:          finished.Failure,
	}
}
