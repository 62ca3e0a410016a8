package peerlink_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// Listing is an RPC service whose reply has several fields.
type Listing struct{}

// Page is a reply that would pass for an empty last page if it were cut.
type Page struct {
	Names []string
	Done  bool
}

// List returns a page.
func (Listing) List(_ *string, reply *Page) error {
	*reply = Page{Names: []string{"a", strings.Repeat("b", 100)}, Done: true}
	return nil
}

// cutConn ends after some bytes have been read.
type cutConn struct {
	net.Conn
	left atomic.Int64
}

func (c *cutConn) Read(p []byte) (int, error) {
	left := c.left.Load()
	if left == 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.left.Add(-int64(n))
	return n, err
}

// TestCutReplyIsNone guards against a reply that was cut anywhere and is taken for one without its later fields.
func TestCutReplyIsNone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() { _ = peerlink.Serve(listener, map[string]any{"Listing": Listing{}}) }()
	list := func(limit int64) (page *Page, left int64, err error) {
		conn := &cutConn{}
		conn.left.Store(limit)
		link := peerlink.NewPool(func(ctx context.Context, kind, address string) (net.Conn, error) {
			var dialer net.Dialer
			raw, err := dialer.DialContext(ctx, kind, address)
			conn.Conn = raw
			return conn, err
		}).LinkTo(listener.Addr().String())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		text := ""
		page, err = peerlink.Call[Page](ctx, link, "Listing.List", &text)
		if conn.Conn != nil {
			_ = conn.Close()
		}
		return page, conn.left.Load(), err
	}
	const plenty = int64(1 << 20)
	_, left, err := list(plenty)
	assert.NilError(t, err)
	for limit := range plenty - left {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			page, _, err := list(limit)
			assert.ErrorIs(t, err, peerlink.ErrUnreachable, "%+v", page)
		})
	}
}
