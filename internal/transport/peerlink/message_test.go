package peerlink

import (
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
)

// sizer is a service that returns the size of what it gets.
type sizer struct{}

func (sizer) Size(data []byte, size *int) error {
	*size = len(data)
	return nil
}

func serveSizer(t *testing.T, limit int64) (*memnet.Fabric, *Server) {
	server, err := NewServer(map[string]any{"Sizer": sizer{}}, limit)
	assert.NilError(t, err)
	fabric := memnet.New()
	listener, err := fabric.Listen("store", "store:1")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return fabric, server
}

func dialSizer(t *testing.T, fabric *memnet.Fabric, from string) net.Conn {
	conn, err := fabric.Dial(context.Background(), from, "store:1")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// beginRequest sends the header of a request and the beginning of a body that declares a size.
func beginRequest(t *testing.T, conn net.Conn, declared string) {
	assert.NilError(t, gob.NewEncoder(conn).Encode(&rpc.Request{ServiceMethod: "Sizer.Size", Seq: 1}))
	_, err := io.WriteString(conn, declared)
	assert.NilError(t, err)
	synctest.Wait()
}

// TestDeclaredMessagesAreCounted guards against messages whose declared size is allocated although it was never sent.
func TestDeclaredMessagesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric, server := serveSizer(t, 10<<20)
		late := 0
		server.OnRefused(func(err error) {
			assert.Check(t, err == ErrLate)
			late++
		})
		for range 20 {
			beginRequest(t, dialSizer(t, fabric, "client"), "\xfd\x90\x00\x00") // 9 MB
		}
		server.requests.mu.Lock()
		held := server.requests.held
		server.requests.mu.Unlock()
		assert.Assert(t, held <= 10<<20+20*expectedRequestBytes, "%d bytes are held", held)
		time.Sleep(21 * messageTime) // the declared messages don't come
		assert.Assert(t, late >= 20)
		caller := rpc.NewClient(dialSizer(t, fabric, "daemon"))
		size := 0
		assert.NilError(t, caller.Call("Sizer.Size", make([]byte, 9<<20), &size))
		assert.Equal(t, size, 9<<20)
		assert.NilError(t, caller.Close())
		synctest.Wait()
		server.requests.mu.Lock()
		defer server.requests.mu.Unlock()
		assert.Equal(t, server.requests.held, int64(0))
	})
}

// TestRequestsWithoutBodiesAreCutOff guards against requests of which only the header comes, and which hold the memory of all.
func TestRequestsWithoutBodiesAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric, _ := serveSizer(t, 1<<20)
		for range 20 {
			beginRequest(t, dialSizer(t, fabric, "client"), "")
		}
		caller := rpc.NewClient(dialSizer(t, fabric, "daemon"))
		size := 0
		assert.NilError(t, caller.Call("Sizer.Size", make([]byte, 1000), &size))
		assert.NilError(t, caller.Close())
	})
}

// TestMessageOverLimitIsRefused guards against a single message that takes more memory than all may.
func TestMessageOverLimitIsRefused(t *testing.T) {
	for _, declared := range []string{"\xfc\x36\x00\x00\x00", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", "\xf0", "\xfd\xff\xff\xff"} {
		synctest.Test(t, func(t *testing.T) {
			fabric, server := serveSizer(t, 10<<20)
			var reasons []error
			server.OnRefused(func(err error) { reasons = append(reasons, err) })
			for _, header := range []bool{true, false} {
				conn := dialSizer(t, fabric, "client")
				if header {
					beginRequest(t, conn, declared+"\x00\x00\x00\x00\x00\x00\x00\x00")
				} else {
					_, err := io.WriteString(conn, declared+"\x00\x00\x00\x00\x00\x00\x00\x00")
					assert.NilError(t, err)
				}
				_, err := io.Copy(io.Discard, conn)
				assert.NilError(t, err) // closed by the server
				assert.Assert(t, len(reasons) > 0 && reasons[0] == ErrTooLarge)
				reasons = nil
			}
		})
	}
}
