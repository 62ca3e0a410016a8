package peerlink

import (
	"bufio"
	"encoding/gob"
	"io"
	"math"
	"net"
	"net/rpc"
	"sync"
)

// Server serves net/rpc services with a limit on the size of all requests under way together. While it is reached, no
// further requests are read, so that a daemon that can't keep up does not collect them in memory: their callers wait, and
// give up as with a daemon that is silent. Requests that wait for news are small and take little of it.
type Server struct {
	rpc      *rpc.Server
	requests *requestBudget
}

// NewServer returns a server of services, by name, that holds requests of at most limit bytes.
func NewServer(services map[string]any, limit int64) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), requests: newRequestBudget(limit)}
	for name, service := range services {
		if err := s.rpc.RegisterName(name, service); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Serve serves the connections of a listener until it is closed. It may be called for several listeners.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.rpc.ServeCodec(newServerCodec(conn, s.requests))
	}
}

// Serve serves services on a listener until it is closed, without a limit.
func Serve(listener net.Listener, services map[string]any) error {
	server, err := NewServer(services, math.MaxInt64)
	if err != nil {
		return err
	}
	return server.Serve(listener)
}

// requestBudget bounds the size of the requests under way on all connections of a server.
type requestBudget struct {
	limit    int64
	mu       sync.Mutex
	released sync.Cond
	held     int64
}

func newRequestBudget(limit int64) *requestBudget {
	b := &requestBudget{limit: limit}
	b.released.L = &b.mu
	return b
}

// expectedRequestBytes is held for a request while it is read and its size is not known. Most requests are smaller.
const expectedRequestBytes = 64 << 10

// reserve waits until a further request may be read, and holds the size that is expected of it.
func (b *requestBudget) reserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.held >= b.limit {
		b.released.Wait()
	}
	b.held += expectedRequestBytes
}

// settle replaces the reserved size of a request by its own.
func (b *requestBudget) settle(bytes int64) { b.release(expectedRequestBytes - bytes) }

func (b *requestBudget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
	b.released.Broadcast()
}

// countingReader counts what is read.
type countingReader struct {
	from  *bufio.Reader
	bytes int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.bytes += int64(n)
	return n, err
}

// ReadByte implements io.ByteReader, without which gob reads ahead.
func (r *countingReader) ReadByte() (byte, error) {
	c, err := r.from.ReadByte()
	if err == nil {
		r.bytes++
	}
	return c, err
}

// serverCodec is the gob codec of net/rpc with a budget for requests.
type serverCodec struct {
	conn     io.Closer
	requests *requestBudget
	received countingReader
	dec      *gob.Decoder
	enc      *gob.Encoder
	out      *bufio.Writer
	// seq is the number of the request that is being read, counted is how many bytes had been read before it.
	seq     uint64
	counted int64

	mu sync.Mutex
	// sizes are those of the requests under way, by number.
	sizes  map[uint64]int64
	closed bool
}

func newServerCodec(conn io.ReadWriteCloser, requests *requestBudget) *serverCodec {
	out := bufio.NewWriter(conn)
	c := &serverCodec{conn: conn, requests: requests, enc: gob.NewEncoder(out), out: out, sizes: map[uint64]int64{}}
	c.received.from = bufio.NewReader(conn)
	c.dec = gob.NewDecoder(&c.received)
	return c
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.counted = c.received.bytes
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.seq = r.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	c.requests.reserve()
	err := c.dec.Decode(body)
	size := c.received.bytes - c.counted
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizes[c.seq] += size
	c.requests.settle(size)
	return err
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each request that it has read.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.releaseRequest(r.Seq)
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		return c.out.Flush()
	}
	if c.out.Flush() == nil {
		// A part of the response may have been encoded: the connection can't be used any more.
		_ = c.Close()
	}
	return err
}

func (c *serverCodec) releaseRequest(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.release(c.sizes[seq])
	delete(c.sizes, seq)
}

// Close implements rpc.ServerCodec. Only the first call closes the connection.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.conn.Close()
}
