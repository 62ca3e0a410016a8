package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// serviceName is the net/rpc name of the service.
const serviceName = "Peer"

// maxRequestBytes bounds the requests under way together. The largest ones hand over the programs of a partition.
const maxRequestBytes = 128 << 20

// Timeouts for serving a request, since net/rpc carries no deadline.
const (
	witnessTimeout = 500 * time.Millisecond
	workTimeout    = 10 * time.Second
)

// Local handles the requests of a daemon's peers.
type Local interface {
	// Probe returns this daemon's incarnation and the state of its configuration.
	Probe() ProbeReply
	// Reach reports whether the given incarnation answers at address.
	Reach(ctx context.Context, address, incarnation string) bool
	// Config returns the current configuration.
	Config() objectapi.Snapshot
	// Prepare prepares this daemon for a hand-over and returns the last segment of its log.
	Prepare(incarnation string, partition uint32) (uint64, error)
	// Adopt starts serving a handed-over partition.
	Adopt(incarnation string, partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error
	// Report makes the outcome of a call that ran at the partition's previous owner durable.
	Report(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error)
	// Ended returns which of the given programs no longer need engine cache.
	Ended(programs []string) []string
	// Drain begins a planned stop.
	Drain()
	// ObjectAPI returns this daemon's direct access to the object API, so that relayed requests are not relayed again.
	ObjectAPI() objectapi.API
}

// Service serves peers' requests. Its exported methods are net/rpc methods.
type Service struct{ local Local }

// Serve serves peers on a listener until it is closed, then closes all connections and returns the listener's error.
func Serve(listener net.Listener, local Local) error {
	server, err := peerlink.NewServer(map[string]any{serviceName: &Service{local: local}}, maxRequestBytes)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	open := map[net.Conn]struct{}{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for conn := range open {
			_ = conn.Close()
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		mu.Lock()
		open[conn] = struct{}{}
		mu.Unlock()
		go func() {
			server.ServeConn(conn)
			mu.Lock()
			delete(open, conn)
			mu.Unlock()
		}()
	}
}

// Probe returns this daemon's state. The reply names the incarnation, so that a restarted daemon at the same address is
// not mistaken for its previous incarnation.
func (s *Service) Probe(_ ProbeArgs, reply *ProbeReply) error {
	*reply = s.local.Probe()
	return nil
}

// Witness probes another daemon on behalf of the requesting one.
func (s *Service) Witness(args WitnessArgs, reply *WitnessReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	reply.Reached = s.local.Reach(ctx, args.Address, args.Incarnation)
	return nil
}

// Config returns the current configuration.
func (s *Service) Config(_ ProbeArgs, reply *ConfigReply) error {
	reply.Snapshot = s.local.Config()
	return nil
}

// Prepare announces a hand-over to this daemon.
func (s *Service) Prepare(args PrepareArgs, reply *PrepareReply) error {
	position, err := s.local.Prepare(args.Incarnation, args.Partition)
	reply.Position, reply.Failure = position, newFailure(err)
	return nil
}

// Adopt hands a partition over to this daemon.
func (s *Service) Adopt(args AdoptArgs, reply *AdoptReply) error {
	programs := make([]*peerv1.ProgramSnapshot, len(args.Programs))
	for i, encoded := range args.Programs {
		programs[i] = &peerv1.ProgramSnapshot{}
		if err := proto.Unmarshal(encoded, programs[i]); err != nil {
			reply.Failure = newFailure(verdict.Refuse(verdict.Invalid, "program snapshot: %v", err))
			return nil
		}
	}
	reply.Failure = newFailure(s.local.Adopt(args.Incarnation, args.Partition, args.Epoch, programs))
	return nil
}

// Report accepts the outcome of a call that outlived a hand-over.
func (s *Service) Report(args ReportArgs, reply *ReportReply) error {
	outcome := &peerv1.Record{}
	if err := proto.Unmarshal(args.Outcome, outcome); err != nil {
		reply.Failure = newFailure(verdict.Refuse(verdict.Invalid, "outcome: %v", err))
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	final, err := s.local.Report(ctx, args.ProgramID, args.Executor, outcome)
	if err != nil {
		reply.Failure = newFailure(err)
		return nil
	}
	if final != nil {
		reply.Final, err = proto.Marshal(final)
	}
	return err
}

// Ended returns which of the given programs no longer need engine cache.
func (s *Service) Ended(args EndedArgs, reply *EndedReply) error {
	reply.Ended = s.local.Ended(args.Programs)
	return nil
}

// Drain begins a planned stop.
func (s *Service) Drain(DrainArgs, *DrainReply) error {
	s.local.Drain()
	return nil
}

// Relay executes an object API request for a daemon that cannot reach the object API.
func (s *Service) Relay(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	execute(ctx, s.local.ObjectAPI(), args, reply)
	return nil
}
