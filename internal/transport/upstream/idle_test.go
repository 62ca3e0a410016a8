package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// TestIdleConnectionsAreReusedLongerForIdempotentRequests checks the margins before the default keep-alive time of 4 s:
// at-most-once requests open a new connection 0.7 s before, idempotent ones 0.25 s before.
func TestIdleConnectionsAreReusedLongerForIdempotentRequests(t *testing.T) {
	dial := func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			r := bufio.NewReader(theirs)
			for {
				id, _, err := read(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(theirs, rawResponse(id, "body"))
			}
		}()
		return ours, nil
	}
	for rest, want := range map[time.Duration]struct{ atMostOnce, idempotent bool }{
		3200 * time.Millisecond: {true, true},
		3400 * time.Millisecond: {false, true},
		3800 * time.Millisecond: {false, false},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/%t", rest, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := upstream.NewPool(dial, headerCodec{}, 100)
					to := upstream.Endpoint{Address: "server"}
					send := func() {
						r := request("1")
						r.Idempotent = idempotent
						a, failure := p.Do(context.Background(), to, 0, r)
						assert.Assert(t, failure == nil, "%v", failure)
						_, err := io.ReadAll(a.Body)
						assert.NilError(t, err)
						a.Close()
					}
					send()
					time.Sleep(rest)
					reused := want.atMostOnce
					if idempotent {
						reused = want.idempotent
					}
					assert.Equal(t, p.HasIdle(to, idempotent), reused)
					send()
					assert.Equal(t, p.Reused() == 1, reused)
					p.CloseIdle(func(upstream.Endpoint) bool { return false })
				})
			})
		}
	}
}
