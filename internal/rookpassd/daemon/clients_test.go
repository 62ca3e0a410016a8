package daemon

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// exhaustedListener fails its first accepts for want of descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// serveHTTP serves HTTP callers until the test ends and returns the address.
func serveHTTP(t *testing.T, server *fasthttp.Server, failures int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	go func() { _ = server.Serve(newClients(log).listen("http", &exhaustedListener{listener, failures})) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

func newTestHTTPServer() *fasthttp.Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newHTTPServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }, newClients(log))
}

// TestHTTPOutlivesUsedUpDescriptors guards against an error of one accept that ends the service of HTTP callers.
func TestHTTPOutlivesUsedUpDescriptors(t *testing.T) {
	address := serveHTTP(t, newTestHTTPServer(), 3)
	resp, err := http.Get("http://" + address + "/")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// TestHTTPCallersThatSendNothingAreCutOff guards against connections that are held for ever, before, inside and after a request.
func TestHTTPCallersThatSendNothingAreCutOff(t *testing.T) {
	server := newTestHTTPServer()
	assert.Assert(t, server.ReadTimeout == httpReadTime && server.IdleTimeout == idleTime && server.WriteTimeout == httpWriteTime)
	server.ReadTimeout, server.IdleTimeout = 300*time.Millisecond, 300*time.Millisecond
	address := serveHTTP(t, server, 0)
	for _, sent := range []string{"", "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, sent)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
		_, err = io.Copy(io.Discard, conn)
		assert.Check(t, err == nil || !os.IsTimeout(err), "%q: still open", sent)
		assert.NilError(t, conn.Close())
	}
}

// TestHTTPHeadsAreBounded guards against heads that take memory without a bound, and against a bound that an ordinary head meets.
func TestHTTPHeadsAreBounded(t *testing.T) {
	address := serveHTTP(t, newTestHTTPServer(), 0)
	for bytes, status := range map[int]int{12 << 10: http.StatusOK, 64 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		assert.NilError(t, err)
		r.Header.Set("A", strings.Repeat("x", bytes))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			assert.Check(t, status != http.StatusOK, "%d bytes: %v", bytes, err) // closed under the request
			continue
		}
		assert.NilError(t, resp.Body.Close())
		assert.Check(t, resp.StatusCode == status, "%d bytes: %d", bytes, resp.StatusCode)
	}
}
