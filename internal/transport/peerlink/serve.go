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
	refused  func(error)
}

// NewServer returns a server of services, by name, that holds requests of at most limit bytes.
func NewServer(services map[string]any, limit int64) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), requests: newRequestBudget(limit), refused: func(error) {}}
	for name, service := range services {
		if err := s.rpc.RegisterName(name, service); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// OnRefused sets what is called with the reason when a connection is closed for a limit. It must be called before Serve.
func (s *Server) OnRefused(refused func(error)) { s.refused = refused }

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
func (s *Server) ServeConn(conn net.Conn) {
	s.rpc.ServeCodec(newServerCodec(conn, s.requests, s.refused))
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

const (
	// expectedRequestBytes is held for a request while it is read and its size is not known. Most requests are smaller.
	expectedRequestBytes = 64 << 10
	// messageTime bounds the time from the first byte of a message to its end, and that of sending a response.
	messageTime = 10 * time.Second
	// maxLengthBytes bounds the bytes of a message's length, with the one that counts them.
	maxLengthBytes = 8
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

// messageReader reads gob messages, each of which begins with its length. gob allocates the declared length before the
// message arrives, so that the reader asks first whether it may.
type messageReader struct {
	from *bufio.Reader
	conn net.Conn
	// admit is called with the size of each message before it is read.
	admit func(bytes int64) error
	// left is what is left of the current message, bytes what has been read of all.
	left, bytes int64
	// timed is set while the connection has a deadline, inRequest while the body of a request is read.
	timed, inRequest bool
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
	if r.left == 0 && r.timed {
		r.timed = false
		_ = r.conn.SetReadDeadline(time.Time{}) // as in limitTime
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
	if r.inRequest && r.from.Buffered() == 0 {
		r.limitTime()
	}
	first, err := r.from.Peek(1)
	if err != nil {
		return err
	}
	prefix, size := 1, int64(first[0])
	if r.from.Buffered() < 1+int(min(size, maxLengthBytes)) {
		r.limitTime()
	}
	if first[0] > 0x7f {
		prefix += -int(int8(first[0]))
		if prefix > maxLengthBytes {
			return ErrTooLarge
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
	if int64(r.from.Buffered()) < r.left {
		r.limitTime()
	}
	return nil
}

// limitTime bounds the time until the end of the message that has begun.
func (r *messageReader) limitTime() {
	r.timed = true
	_ = r.conn.SetReadDeadline(time.Now().Add(messageTime)) // on a failure the next read fails too
}

// Reasons for which connections are closed.
var (
	// ErrTooLarge means that a message exceeds the limit of all requests together.
	ErrTooLarge = errors.New("peerlink: message too large")
	// ErrLate means that the rest of a message did not come in time.
	ErrLate = errors.New("peerlink: message did not come in time")
	// ErrUnread means that a response was not read in time.
	ErrUnread = errors.New("peerlink: response was not read in time")
)

// serverCodec is the gob codec of net/rpc with a budget for requests.
type serverCodec struct {
	conn     net.Conn
	requests *requestBudget
	refused  func(error)
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

func newServerCodec(conn net.Conn, requests *requestBudget, refused func(error)) *serverCodec {
	out := bufio.NewWriter(conn)
	c := &serverCodec{conn: conn, requests: requests, refused: refused, enc: gob.NewEncoder(out), out: out, sizes: map[uint64]int64{}}
	c.received = messageReader{from: bufio.NewReader(conn), conn: conn, admit: c.admit}
	c.dec = gob.NewDecoder(&c.received)
	return c
}

// admit waits until a message of the request that is being read may be received. The header of a request is small.
func (c *serverCodec) admit(bytes int64) error {
	total := c.received.bytes - c.counted + bytes
	switch {
	case total <= max(c.held, expectedRequestBytes):
		return nil
	case c.held == 0 || total > c.requests.limit:
		return ErrTooLarge
	}
	c.requests.enlarge(c.held, total)
	c.held = total
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.counted = c.received.bytes
	if err := c.dec.Decode(r); err != nil {
		c.countRefusal(err, ErrLate)
		return err
	}
	c.seq = r.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	c.requests.reserve()
	c.held = expectedRequestBytes
	c.received.inRequest = true
	err := c.dec.Decode(body)
	c.received.inRequest = false
	size := c.received.bytes - c.counted
	if err != nil {
		c.countRefusal(err, ErrLate)
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
	_ = c.conn.SetWriteDeadline(time.Now().Add(messageTime)) // on a failure a client that does not read has no bound
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
		c.countRefusal(err, ErrUnread)
		return err
	}
	c.countRefusal(err, ErrUnread)
	if c.out.Flush() == nil {
		// A part of the response may have been encoded: the connection can't be used any more.
		_ = c.Close()
	}
	return err
}

// countRefusal reports an error for which the connection is closed, if a limit caused it; late is the reason of a deadline.
func (c *serverCodec) countRefusal(err, late error) {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrTooLarge):
		c.refused(ErrTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.refused(late)
	}
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
