package workload

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	// stalledBodyBytes is the size of the large bodies of callers that stall.
	stalledBodyBytes = 900 << 10
	// largeAnswerBytes is the size of a tool's answer to a call whose ID starts with largeAnswerPrefix. It exceeds the
	// buffers of a connection.
	largeAnswerBytes  = 250 << 10
	largeAnswerPrefix = "large"
)

// stalledBody is the large body. It is shared and written without a copy, since a test has many callers and measures
// memory.
var (
	stalledBody = bytes.Repeat([]byte("b"), stalledBodyBytes)
	stalledText = string(stalledBody)
)

// Stall sends n at-most-once tool calls to a front daemon as callers that are slow: a third send only half of a large
// body, a third send a large body and do not read, and a third do not read a large answer. After the given time all
// read what there is, and the checker learns of it.
func (c *Caller) Stall(front string, n int, during time.Duration) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			conn, err := c.dial(context.Background(), "tcp", front)
			if err != nil {
				c.checker.RecordOutcome("broken off")
				return
			}
			defer func() { _ = conn.Close() }()
			c.stallCall(conn, i%3, during)
		})
	}
	wg.Wait()
}

// stallCall sends one call of a caller that stalls.
func (c *Caller) stallCall(conn net.Conn, kind int, during time.Duration) {
	id, body, sent := fmt.Sprintf("stalled%d", lastID.Add(1)), stalledBody, stalledBodyBytes
	switch kind {
	case 0:
		sent /= 2
	case 2:
		id, body, sent = largeAnswerPrefix+id, nil, 0
	}
	c.checker.RecordSent(id, stalledText[:len(body)], false)
	c.checker.RecordSender(id, c.organisation)
	call := platformtest.Call{ID: id, Deadline: callDeadline, Key: keyOf(c.organisation)}
	var head strings.Builder
	_ = call.Header().Write(&head)
	// A front that refuses a call stops reading its body, so that the write may block until the connection is closed.
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /tool/%s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", id, requestHost, head.String(), len(body))
		_, _ = conn.Write(body[:sent])
	}()
	time.Sleep(during)
	_ = conn.SetReadDeadline(time.Now().Add(callDeadline + time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.checker.RecordOutcome("broken off")
		return
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		c.recordStatus(id, response.StatusCode, err)
		return
	}
	c.checker.RecordComplete(id)
	if string(got) != toolAnswer(id) {
		c.checker.AddViolation("call %s has a complete but wrong answer of %d bytes", id, len(got))
	}
	c.checker.RecordOutcome("stalled call whole")
}
