// Package admin implements the operators' gRPC service: configuration objects, status and planned stops.
package admin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/auth"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/entry"
	"github.com/rookpass/rookpass/internal/rookpassd/peer"
)

// probeTimeout bounds a probe of one daemon.
const probeTimeout = time.Second

// apiRetryAfter is the retry delay in errors while the object API or a daemon does not answer.
const apiRetryAfter = 2 * time.Second

// Peers sends requests to other daemons; *peer.Client implements it.
type Peers interface {
	Probe(ctx context.Context, address, incarnation string) (peer.ProbeReply, error)
	Drain(ctx context.Context, address string) error
}

// Backends reports the status of backend servers; *backend.Runner implements it.
type Backends interface {
	Status() []*rookpassv1.BackendStatus
}

// Dependencies holds what a Server uses.
type Dependencies struct {
	API      objectapi.API
	Config   *config.Store
	Tracker  *cluster.Tracker
	Peers    Peers
	Backends Backends
	// RootHash is the hash of the root operator's secret.
	RootHash string
	Log      logrus.FieldLogger
}

// Server implements the Operator service. Use New.
type Server struct {
	rookpassv1.UnimplementedOperatorServer
	Dependencies
}

// New returns a Server with the given dependencies.
func New(deps Dependencies) *Server { return &Server{Dependencies: deps} }

// authorize authenticates the operator and returns its name. It requires the admin role if write is set.
func (s *Server) authorize(ctx context.Context, write bool) (string, error) {
	name, role, err := auth.Operator(s.Config.View(), s.RootHash, entry.Authorization(ctx))
	if err != nil {
		return "", err
	}
	if write && role != rookpassv1.Role_ROLE_ADMIN {
		return "", verdict.Refuse(verdict.Forbidden, "operator %q may only read", name)
	}
	return name, nil
}

// Put implements rookpassv1.OperatorServer.
func (s *Server) Put(ctx context.Context, req *rookpassv1.PutRequest) (*rookpassv1.Object, error) {
	object, err := s.put(ctx, req)
	return object, verdict.GRPC(err)
}

func (s *Server) put(ctx context.Context, req *rookpassv1.PutRequest) (*rookpassv1.Object, error) {
	operator, err := s.authorize(ctx, true)
	if err != nil {
		return nil, err
	}
	if err := Validate(req.Object); err != nil {
		return nil, err
	}
	key, _ := config.Key(req.Object.Key)
	// The version is assigned by the object API and not part of the stored value.
	stored := &rookpassv1.Object{Key: req.Object.Key, Spec: req.Object.Spec}
	value, err := protojson.Marshal(stored)
	if err != nil {
		return nil, verdict.Refuse(verdict.Invalid, "object: %v", err)
	}
	written, err := s.write(ctx, key, value, req.IfVersion)
	if err != nil {
		return nil, err
	}
	s.Log.WithFields(logrus.Fields{
		"event": "config.put", "operator": operator, "key": key, "version": written.Version,
	}).Info()
	stored.Version = written.Version
	return stored, nil
}

// write puts a value. After an unknown outcome it reads the object to find out whether the write took effect; on a
// conflict the error holds the current version.
func (s *Server) write(ctx context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	written, err := s.API.Put(ctx, key, value, ifVersion)
	if err == nil {
		return written, nil
	}
	unknown := errors.Is(err, objectapi.ErrUnknownOutcome)
	if !unknown && !errors.Is(err, objectapi.ErrConflict) {
		return objectapi.Object{}, apiError(err)
	}
	current, getErr := s.API.Get(ctx, key)
	if unknown && (getErr != nil || string(current.Value) != string(value)) {
		return objectapi.Object{}, verdict.Unknown(verdict.Lost, apiRetryAfter, "the change may be in force: read the object")
	}
	if unknown {
		return current, nil
	}
	conflict := verdict.Refuse(verdict.Conflict, "%s is at version %d, not %d", key, current.Version, ifVersion)
	conflict.CurrentVersion = current.Version
	return objectapi.Object{}, conflict
}

func apiError(err error) error {
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return verdict.Refuse(verdict.NotFound, "no such object")
	case errors.Is(err, objectapi.ErrTooLarge):
		return verdict.Refuse(verdict.Invalid, "object is too large")
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		return verdict.Unknown(verdict.Lost, apiRetryAfter, "the change may be in force: read the object")
	default:
		return verdict.RetryLater(verdict.Unavailable, apiRetryAfter, "object API: %v", err)
	}
}

// Get implements rookpassv1.OperatorServer. It reads the object API, not this daemon's copy.
func (s *Server) Get(ctx context.Context, key *rookpassv1.ObjectKey) (*rookpassv1.Object, error) {
	object, err := s.get(ctx, key)
	return object, verdict.GRPC(err)
}

func (s *Server) get(ctx context.Context, key *rookpassv1.ObjectKey) (*rookpassv1.Object, error) {
	if _, err := s.authorize(ctx, false); err != nil {
		return nil, err
	}
	path, known := config.Key(key)
	if !known {
		return nil, verdict.Refuse(verdict.Invalid, "kind is missing or unknown")
	}
	stored, err := s.API.Get(ctx, path)
	if err != nil {
		return nil, apiError(err)
	}
	return decode(stored)
}

func decode(stored objectapi.Object) (*rookpassv1.Object, error) {
	object := &rookpassv1.Object{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(stored.Value, object); err != nil {
		return nil, verdict.Refuse(verdict.Invalid, "%s is corrupt: %v", stored.Key, err)
	}
	object.Version = stored.Version
	return object, nil
}

// List implements rookpassv1.OperatorServer.
func (s *Server) List(ctx context.Context, req *rookpassv1.ListRequest) (*rookpassv1.ListResponse, error) {
	response, err := s.list(ctx, req)
	return response, verdict.GRPC(err)
}

func (s *Server) list(ctx context.Context, req *rookpassv1.ListRequest) (*rookpassv1.ListResponse, error) {
	if _, err := s.authorize(ctx, false); err != nil {
		return nil, err
	}
	prefix, known := config.Prefix(req.Kind)
	if !known {
		return nil, verdict.Refuse(verdict.Invalid, "kind is missing or unknown")
	}
	snapshot, err := s.API.List(ctx, prefix)
	if err != nil {
		return nil, apiError(err)
	}
	response := &rookpassv1.ListResponse{Revision: snapshot.Version}
	for _, stored := range snapshot.Objects {
		object, err := decode(stored)
		if err != nil {
			return nil, err
		}
		response.Objects = append(response.Objects, object)
	}
	return response, nil
}

// Delete implements rookpassv1.OperatorServer.
func (s *Server) Delete(ctx context.Context, req *rookpassv1.DeleteRequest) (*rookpassv1.DeleteResponse, error) {
	response, err := s.delete(ctx, req)
	return response, verdict.GRPC(err)
}

func (s *Server) delete(ctx context.Context, req *rookpassv1.DeleteRequest) (*rookpassv1.DeleteResponse, error) {
	operator, err := s.authorize(ctx, true)
	if err != nil {
		return nil, err
	}
	key, known := config.Key(req.Key)
	if !known {
		return nil, verdict.Refuse(verdict.Invalid, "kind is missing or unknown")
	}
	revision, err := s.API.Delete(ctx, key, req.IfVersion)
	if errors.Is(err, objectapi.ErrConflict) {
		return nil, s.conflict(ctx, key, req.IfVersion)
	}
	if err != nil {
		return nil, apiError(err)
	}
	s.Log.WithFields(logrus.Fields{"event": "config.delete", "operator": operator, "key": key, "version": revision}).Info()
	return &rookpassv1.DeleteResponse{Revision: revision}, nil
}

func (s *Server) conflict(ctx context.Context, key string, ifVersion uint64) error {
	current, err := s.API.Get(ctx, key)
	if err != nil {
		return apiError(err)
	}
	conflict := verdict.Refuse(verdict.Conflict, "%s is at version %d, not %d", key, current.Version, ifVersion)
	conflict.CurrentVersion = current.Version
	return conflict
}

// InForce implements rookpassv1.OperatorServer.
func (s *Server) InForce(ctx context.Context, req *rookpassv1.InForceRequest) (*rookpassv1.InForceResponse, error) {
	if _, err := s.authorize(ctx, false); err != nil {
		return nil, verdict.GRPC(err)
	}
	view := s.Tracker.View()
	response := &rookpassv1.InForceResponse{Everywhere: true}
	results := make(chan *rookpassv1.DaemonRevision)
	asked := 0
	for incarnation, daemon := range view.Daemons {
		if daemon.Sealed {
			continue
		}
		asked++
		go func() { results <- s.revisionOf(ctx, daemon.Name, daemon.PeerAddress, incarnation) }()
	}
	for range asked {
		result := <-results
		response.Daemons = append(response.Daemons, result)
		response.Everywhere = response.Everywhere && result.Reachable && result.Revision >= req.Revision
	}
	slices.SortFunc(response.Daemons, func(a, b *rookpassv1.DaemonRevision) int {
		return strings.Compare(a.Daemon, b.Daemon)
	})
	return response, nil
}

func (s *Server) revisionOf(ctx context.Context, name, address, incarnation string) *rookpassv1.DaemonRevision {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := s.Peers.Probe(ctx, address, incarnation)
	return &rookpassv1.DaemonRevision{Daemon: name, Revision: reply.ConfigAsOf, Reachable: err == nil}
}

// Status implements rookpassv1.OperatorServer.
func (s *Server) Status(ctx context.Context, _ *rookpassv1.StatusRequest) (*rookpassv1.StatusResponse, error) {
	if _, err := s.authorize(ctx, false); err != nil {
		return nil, verdict.GRPC(err)
	}
	view := s.Tracker.View()
	response := &rookpassv1.StatusResponse{BackendServers: s.Backends.Status(), ConfigRevision: s.Config.AsOf()}
	for _, incarnation := range slices.Sorted(maps.Keys(view.Daemons)) {
		daemon := view.Daemons[incarnation]
		if daemon.Sealed {
			continue
		}
		response.Daemons = append(response.Daemons, &rookpassv1.DaemonStatus{
			Name: daemon.Name, Incarnation: incarnation, DataCentre: daemon.DataCentre,
			PeerAddress: daemon.PeerAddress, Draining: daemon.Draining,
		})
	}
	for number, partition := range view.Partitions {
		response.Partitions = append(response.Partitions, &rookpassv1.PartitionStatus{
			Number: uint32(number), Owner: partition.GetOwner(), Epoch: partition.GetEpoch(),
		})
	}
	return response, nil
}

// DrainDaemon implements rookpassv1.OperatorServer.
func (s *Server) DrainDaemon(ctx context.Context, req *rookpassv1.DrainDaemonRequest) (*rookpassv1.DrainDaemonResponse, error) {
	operator, err := s.authorize(ctx, true)
	if err != nil {
		return nil, verdict.GRPC(err)
	}
	for _, daemon := range s.Tracker.View().Daemons {
		if daemon.Name != req.Daemon || daemon.Sealed {
			continue
		}
		if err := s.Peers.Drain(ctx, daemon.PeerAddress); err != nil {
			return nil, verdict.GRPC(verdict.Unknown(verdict.Unavailable, apiRetryAfter, "daemon %q: %v", req.Daemon, err))
		}
		s.Log.WithFields(logrus.Fields{"event": "daemon.drain_asked", "operator": operator, "target": req.Daemon}).Info()
		return &rookpassv1.DrainDaemonResponse{}, nil
	}
	return nil, verdict.GRPC(verdict.Refuse(verdict.NotFound, "no daemon %q", req.Daemon))
}
