package peerlink

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"math"
	"net"
	"net/rpc"
	"sync"
	"time"
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
		go s.ServeConn(conn)
	}
}

// ServeConn serves one connection until it is closed.
func (s *Server) ServeConn(conn net.Conn) { s.rpc.ServeCodec(newServerCodec(conn, s.requests)) }

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

const (
	// expectedRequestBytes is held for a request while it is read and its size is not known. Most requests are smaller.
	expectedRequestBytes = 64 << 10
	// messageTime bounds the time from the first byte of a message to its end, and that of sending a response.
	messageTime = 10 * time.Second
)

// reserve waits until a further request may be read, and holds the size that is expected of it.
func (b *requestBudget) reserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.held >= b.limit {
		b.released.Wait()
	}
	b.held += expectedRequestBytes
}

// enlarge replaces held bytes by more, and waits until they fit. A single request of up to the limit always does.
func (b *requestBudget) enlarge(from, to int64) {
	b.release(from)
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.held > 0 && b.held+to > b.limit {
		b.released.Wait()
	}
	b.held += to
}

func (b *requestBudget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
	b.released.Broadcast()
}

// deadlineConn is a connection that may have deadlines.
type deadlineConn interface {
	SetReadDeadline(time.Time) error
	SetWriteDeadline(time.Time) error
}

// messageReader reads gob messages, each of which begins with its length. gob allocates the declared length before the
// message arrives, so that the reader asks first whether it may.
type messageReader struct {
	from *bufio.Reader
	conn deadlineConn
	// admit is called with the size of each message before it is read.
	admit func(bytes int64) error
	// left is what is left of the current message, bytes what has been read of all.
	left, bytes int64
}

// Read implements io.Reader. It returns at most the rest of a message.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.begin(); err != nil {
			return 0, err
		}
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.bytes += int64(n)
	r.left -= int64(n)
	if r.left == 0 {
		_ = r.conn.SetReadDeadline(time.Time{}) // on a failure the next read fails too
	}
	return n, err
}

// ReadByte implements io.ByteReader, without which gob reads ahead.
func (r *messageReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(r, one[:])
	return one[0], err
}

// begin reads the length of the next message: a byte up to 127, or the negated number of the bytes that hold it.
func (r *messageReader) begin() error {
	first, err := r.from.Peek(1)
	if err != nil {
		return err
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(messageTime)) // as in Read
	prefix, size := 1, int64(first[0])
	if first[0] > 0x7f {
		prefix += -int(int8(first[0]))
		if prefix > 8 {
			return errTooLarge
		}
		length, err := r.from.Peek(prefix)
		if err != nil {
			return err
		}
		size = 0
		for _, b := range length[1:] {
			size = size<<8 | int64(b)
		}
	}
	if err := r.admit(size); err != nil {
		return err
	}
	r.left = int64(prefix) + size
	return nil
}

// errTooLarge means that a message exceeds the limit of all requests together.
var errTooLarge = errors.New("peerlink: message too large")

// serverCodec is the gob codec of net/rpc with a budget for requests.
type serverCodec struct {
	conn     io.Closer
	timed    deadlineConn
	requests *requestBudget
	received messageReader
	// held is what is held for the request that is being read.
	held int64
	dec  *gob.Decoder
	enc  *gob.Encoder
	out  *bufio.Writer
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
	c.timed, _ = conn.(deadlineConn)
	if c.timed == nil {
		c.timed = untimed{}
	}
	c.received = messageReader{from: bufio.NewReader(conn), conn: c.timed, admit: c.admit}
	c.dec = gob.NewDecoder(&c.received)
	return c
}

// untimed is a connection without deadlines.
type untimed struct{}

func (untimed) SetReadDeadline(time.Time) error  { return nil }
func (untimed) SetWriteDeadline(time.Time) error { return nil }

// admit waits until a message of the request that is being read may be received. The header of a request is small.
func (c *serverCodec) admit(bytes int64) error {
	total := c.received.bytes - c.counted + bytes
	switch {
	case total <= max(c.held, expectedRequestBytes):
		return nil
	case c.held == 0 || total > c.requests.limit:
		return errTooLarge
	}
	c.requests.enlarge(c.held, total)
	c.held = total
	return nil
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
	c.held = expectedRequestBytes
	err := c.dec.Decode(body)
	size := c.received.bytes - c.counted
	if err != nil {
		size = 0 // net/rpc responds to a request that can't be decoded, or closes the connection
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizes[c.seq] += size
	c.requests.release(c.held - size)
	c.held = 0
	return err
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each request that it has read.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.releaseRequest(r.Seq)
	_ = c.timed.SetWriteDeadline(time.Now().Add(messageTime)) // on a failure a client that does not read has no bound
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
