package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// serviceName is the net/rpc name of the service.
const serviceName = "Peer"

// Bounds on the work that one request may cause here; net/rpc carries no deadline.
const (
	witnessTimeout = 500 * time.Millisecond
	workTimeout    = 10 * time.Second
)

// Local is what a daemon does for its peers.
type Local interface {
	// Probe tells what this daemon is.
	Probe() ProbeReply
	// Reach probes another daemon.
	Reach(ctx context.Context, address, incarnation string) bool
	// Config returns the configuration in force.
	Config() objectapi.Snapshot
	// Prepare readies this daemon for a hand-over and returns the last segment of its log.
	Prepare(incarnation string, partition uint32) (uint64, error)
	// Adopt puts a handed-over partition in service.
	Adopt(incarnation string, partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error
	// Report makes the outcome of a call durable that ran at the partition's old owner.
	Report(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error)
	// Ended returns which of some programs no longer need engine cache.
	Ended(programs []string) []string
	// Drain begins a planned stop.
	Drain()
	// ObjectAPI is this daemon's own access to the object API, never another relay.
	ObjectAPI() objectapi.API
}

// Service answers peers. Its exported methods are net/rpc methods.
type Service struct{ local Local }

// Serve answers peers on a listener until it is closed.
func Serve(listener net.Listener, local Local) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{local: local}); err != nil {
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

// Probe answers a probe. It says which incarnation answers, so that a restarted daemon at the same address
// is not taken for its former self.
func (s *Service) Probe(_ ProbeArgs, reply *ProbeReply) error {
	*reply = s.local.Probe()
	return nil
}

// Witness probes another daemon for the asking one.
func (s *Service) Witness(args WitnessArgs, reply *WitnessReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	reply.Reached = s.local.Reach(ctx, args.Address, args.Incarnation)
	return nil
}

// Config returns the configuration in force.
func (s *Service) Config(_ ProbeArgs, reply *ConfigReply) error {
	reply.Snapshot = s.local.Config()
	return nil
}

// Prepare announces a hand-over.
func (s *Service) Prepare(args PrepareArgs, reply *PrepareReply) error {
	position, err := s.local.Prepare(args.Incarnation, args.Partition)
	reply.Position, reply.Failure = position, failure(err)
	return nil
}

// Adopt hands a partition over.
func (s *Service) Adopt(args AdoptArgs, reply *AdoptReply) error {
	programs := make([]*peerv1.ProgramSnapshot, len(args.Programs))
	for i, encoded := range args.Programs {
		programs[i] = &peerv1.ProgramSnapshot{}
		if err := proto.Unmarshal(encoded, programs[i]); err != nil {
			reply.Failure = failure(verdict.Refuse(verdict.Invalid, "program snapshot: %v", err))
			return nil
		}
	}
	reply.Failure = failure(s.local.Adopt(args.Incarnation, args.Partition, args.Epoch, programs))
	return nil
}

// Report brings the outcome of a call that outlived a hand-over.
func (s *Service) Report(args ReportArgs, reply *ReportReply) error {
	outcome := &peerv1.Record{}
	if err := proto.Unmarshal(args.Outcome, outcome); err != nil {
		reply.Failure = failure(verdict.Refuse(verdict.Invalid, "outcome: %v", err))
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	final, err := s.local.Report(ctx, args.ProgramID, args.Executor, outcome)
	if err != nil {
		reply.Failure = failure(err)
		return nil
	}
	if final != nil {
		reply.Final, err = proto.Marshal(final)
	}
	return err
}

// Ended tells which programs no longer need engine cache.
func (s *Service) Ended(args EndedArgs, reply *EndedReply) error {
	reply.Ended = s.local.Ended(args.Programs)
	return nil
}

// Drain begins a planned stop.
func (s *Service) Drain(DrainArgs, *DrainReply) error {
	s.local.Drain()
	return nil
}

// Relay carries out an object API request for a daemon that is cut off from it.
func (s *Service) Relay(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	carryOut(ctx, s.local.ObjectAPI(), args, reply)
	return nil
}
