package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// DialFunc connects to a daemon's peer address, with mutual TLS unless the settings allow plain text.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls peers. It keeps one connection per address. Use NewClient.
type Client struct {
	dial DialFunc

	mu    sync.Mutex
	conns map[string]*rpc.Client
	// closed is set by Close; no connection is opened after that.
	closed bool
}

// NewClient returns a Client that connects to peers with dial on demand.
func NewClient(dial DialFunc) *Client {
	return &Client{dial: dial, conns: map[string]*rpc.Client{}}
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

// call calls one method of a peer. If ctx ends first, it closes the connection, since a peer that did not answer in
// time may be hung.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	pending := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		var answered rpc.ServerError
		if pending.Error != nil && !errors.As(pending.Error, &answered) {
			c.drop(address, conn)
		}
		return pending.Error
	case <-ctx.Done():
		c.drop(address, conn)
		return ctx.Err()
	}
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = rpc.NewClient(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, rpc.ErrShutdown
	}
	if other := c.conns[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Probe returns the state of the daemon at address.
func (c *Client) Probe(ctx context.Context, address, incarnation string) (ProbeReply, error) {
	var reply ProbeReply
	err := c.call(ctx, address, "Probe", ProbeArgs{Incarnation: incarnation}, &reply)
	return reply, err
}

// Reach reports whether the given incarnation answers at address.
func (c *Client) Reach(ctx context.Context, address, incarnation string) bool {
	reply, err := c.Probe(ctx, address, incarnation)
	return err == nil && reply.Incarnation == incarnation
}

// Witness asks the daemon at address whether it reaches another one. On an error the result is unknown.
func (c *Client) Witness(ctx context.Context, address string, args WitnessArgs) (bool, error) {
	var reply WitnessReply
	err := c.call(ctx, address, "Witness", args, &reply)
	return reply.Reached, err
}

// Config fetches a daemon's configuration.
func (c *Client) Config(ctx context.Context, address string) (objectapi.Snapshot, error) {
	var reply ConfigReply
	err := c.call(ctx, address, "Config", ProbeArgs{}, &reply)
	return reply.Snapshot, err
}

// Prepare announces a hand-over to its new owner and returns the last segment of the new owner's log.
func (c *Client) Prepare(ctx context.Context, address, incarnation string, partition uint32) (uint64, error) {
	var reply PrepareReply
	args := PrepareArgs{Incarnation: incarnation, Partition: partition}
	if err := c.call(ctx, address, "Prepare", args, &reply); err != nil {
		return 0, err
	}
	return reply.Position, reply.Failure.Err()
}

// Adopt sends a partition's state to its new owner.
func (c *Client) Adopt(ctx context.Context, address, incarnation string, partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error {
	args := AdoptArgs{Incarnation: incarnation, Partition: partition, Epoch: epoch}
	for _, snapshot := range programs {
		encoded, err := proto.Marshal(snapshot)
		if err != nil {
			return err
		}
		args.Programs = append(args.Programs, encoded)
	}
	var reply AdoptReply
	if err := c.call(ctx, address, "Adopt", args, &reply); err != nil {
		return err
	}
	return reply.Failure.Err()
}

// Report sends the outcome of a call to the partition's owner. The result is nil for an abandoned call.
func (c *Client) Report(ctx context.Context, address, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error) {
	encoded, err := proto.Marshal(outcome)
	if err != nil {
		return nil, err
	}
	var reply ReportReply
	args := ReportArgs{ProgramID: programID, Executor: executor, Outcome: encoded}
	if err := c.call(ctx, address, "Report", args, &reply); err != nil {
		return nil, err
	}
	if err := reply.Failure.Err(); err != nil || len(reply.Final) == 0 {
		return nil, err
	}
	final := &rookpassv1.CallFinal{}
	return final, proto.Unmarshal(reply.Final, final)
}

// Ended returns which of the given programs no longer need engine cache.
func (c *Client) Ended(ctx context.Context, address string, programs []string) ([]string, error) {
	var reply EndedReply
	err := c.call(ctx, address, "Ended", EndedArgs{Programs: programs}, &reply)
	return reply.Ended, err
}

// Drain asks the daemon at address to begin a planned stop.
func (c *Client) Drain(ctx context.Context, address string) error {
	return c.call(ctx, address, "Drain", DrainArgs{}, &DrainReply{})
}

// Relay asks the daemon at address to execute an object API request.
func (c *Client) Relay(ctx context.Context, address string, args RelayArgs) (RelayReply, error) {
	var reply RelayReply
	err := c.call(ctx, address, "Relay", args, &reply)
	return reply, err
}
