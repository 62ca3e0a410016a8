package crowds

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 250
	// crowdTime is how long a crowd stays.
	crowdTime = 2 * time.Second
	// redialPause is the pause of a client whose connection was closed.
	redialPause = 20 * time.Millisecond
	longBytes   = 60 << 10
	fieldsBytes = 65 << 10
)

// client is one connection of a crowd.
type client struct {
	net.Conn
	stop <-chan struct{}
}

// send writes and reports whether it succeeded.
func (c *client) send(text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// repeat sends a text until the connection is closed.
func (c *client) repeat(text string) {
	for c.send(text) {
	}
}

// trickle sends a text every pause until the connection is closed.
func (c *client) trickle(text string, pause time.Duration) {
	for c.send(text) {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
}

// hold keeps the connection open, and reads what comes, until the other side closes it.
func (c *client) hold() {
	buffer := make([]byte, 512)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// answered sends one ordinary request and reads the head of its answer.
func (c *client) answered() bool {
	if !c.send(requestHead("/lookup/1") + "Content-Length: 4\r\n\r\ntext") {
		return false
	}
	buffer := make([]byte, 4096)
	n, err := c.Read(buffer)
	return err == nil && strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200")
}

// smallFields returns fields of a few bytes each, with names of their own.
func smallFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

var (
	manyFields   = smallFields(fieldsBytes)
	fieldsInside = smallFields(headerBytes - 512)
	fieldsHalf   = smallFields(headerBytes / 2)
	longText     = strings.Repeat("x", longBytes)
	someFields   = smallFields(4 << 10)
)

// kind is what each client of a crowd does with a connection.
type kind struct {
	name string
	act  func(c *client)
}

func startOf() string { return "GET /lookup/1 HTTP/1.1\r\nHost: " + requestHost + "\r\n" }

// kinds are the ways of clients that don't keep to the limits.
var kinds = []kind{
	{"nothing", func(c *client) { c.hold() }},
	{"fields held", func(c *client) {
		_ = c.send(startOf() + manyFields)
		c.hold()
	}},
	{"fields held in a later request", func(c *client) {
		if c.answered() {
			_ = c.send(startOf() + manyFields)
		}
		c.hold()
	}},
	{"fields inside the limit held", func(c *client) {
		_ = c.send(startOf() + fieldsInside)
		c.hold()
	}},
	{"many fields and part of a body", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + manyFields + "Content-Length: 1000000\r\n\r\n" + longText)
		c.hold()
	}},
	{"fields inside the limit and part of a body", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + fieldsHalf + "Content-Length: 1000000\r\n\r\n" + longText)
		c.hold()
	}},
	{"fields without end", func(c *client) {
		if c.send(startOf()) {
			c.repeat(someFields)
		}
	}},
	{"folded fields without end", func(c *client) {
		if c.send(startOf() + "a: b\r\n") {
			c.repeat(strings.Repeat(" c\r\n", 1000))
		}
	}},
	{"long line held", func(c *client) {
		_ = c.send("GET /" + longText)
		c.hold()
	}},
	{"long field held", func(c *client) {
		_ = c.send(startOf() + "a: " + longText)
		c.hold()
	}},
	{"line without end", func(c *client) {
		if c.send("GET /") {
			c.repeat(longText[:4096])
		}
	}},
	{"empty lines without end", func(c *client) { c.repeat(strings.Repeat("\r\n", 2000)) }},
	{"empty lines without end after a request", func(c *client) {
		if c.answered() {
			c.repeat(strings.Repeat("\n", 4000))
		}
	}},
	{"zeros without end", func(c *client) { c.repeat(strings.Repeat("\x00", 4096)) }},
	{"preface of HTTP/2", func(c *client) {
		_ = c.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
		c.hold()
	}},
	{"trickling head", func(c *client) {
		if c.send(startOf()) {
			c.trickle("a: b\r\n", 200*time.Millisecond)
		}
	}},
	{"body that trickles", func(c *client) {
		if c.send(requestHead("/lookup/1") + "Content-Length: 1000000\r\n\r\n") {
			c.trickle("text", 200*time.Millisecond)
		}
	}},
	{"small bodies that don't come", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + "Content-Length: 40000\r\n\r\n")
		c.hold()
	}},
	{"tiny chunks", func(c *client) {
		if c.send(requestHead("/lookup/1") + "Transfer-Encoding: chunked\r\n\r\n") {
			c.repeat(strings.Repeat("1\r\nx\r\n", 500))
		}
	}},
	{"chunk extensions without end", func(c *client) {
		if c.send(requestHead("/lookup/1") + "Transfer-Encoding: chunked\r\n\r\n1;") {
			c.repeat(longText[:4096])
		}
	}},
	{"trailers without end", func(c *client) {
		if c.send(requestHead("/lookup/1") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n") {
			c.repeat(someFields)
		}
	}},
	{"pipelined requests whose answers are not read", func(c *client) {
		c.repeat(requestHead("/lookup/1") + "Content-Length: 4\r\n\r\ntext")
	}},
	{"refused requests", func(c *client) {
		for c.send("GET /nowhere HTTP/1.1\r\nHost: nowhere.example\r\n\r\n") {
			if _, err := c.Read(make([]byte, 4096)); err != nil {
				return
			}
		}
	}},
	{"requests without a key", func(c *client) {
		for c.send("GET /lookup/1 HTTP/1.1\r\nHost: " + requestHost + "\r\n" + someFields + "\r\n") {
			if _, err := c.Read(make([]byte, 4096)); err != nil {
				return
			}
		}
	}},
	{"expectation without a body", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n")
		c.hold()
	}},
	{"conflicting lengths", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + "Content-Length: 4\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		c.hold()
	}},
	{"upgrade", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n")
		c.hold()
	}},
	{"half-closed in a head", func(c *client) {
		_ = c.send(startOf() + someFields)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.hold()
	}},
	{"reset in a body", func(c *client) {
		_ = c.send(requestHead("/lookup/1") + "Content-Length: 1000\r\n\r\ntext")
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}},
}

func kindOf(name string) kind {
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	panic(name)
}

// crowd is a number of clients that act until they are stopped.
type crowd struct {
	stop    chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	open    map[net.Conn]bool
	opened  atomic.Int64
}

// gather starts a crowd at an address.
func gather(address string, size int, act func(c *client)) *crowd {
	w := &crowd{stop: make(chan struct{}), open: map[net.Conn]bool{}}
	for range size {
		w.clients.Go(func() {
			for !w.stopped() {
				w.connect(address, act)
				time.Sleep(redialPause)
			}
		})
	}
	return w
}

func (w *crowd) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func (w *crowd) connect(address string, act func(c *client)) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	w.mu.Lock()
	w.open[conn] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.open, conn)
	}()
	w.opened.Add(1)
	if !w.stopped() {
		act(&client{conn, w.stop})
	}
}

// leave ends all clients.
func (w *crowd) leave() {
	close(w.stop)
	w.mu.Lock()
	for conn := range w.open {
		_ = conn.Close()
	}
	w.mu.Unlock()
	w.clients.Wait()
}
