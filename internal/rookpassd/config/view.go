// Package config holds each daemon's copy of the operators' configuration: organisations, program definitions, backend
// servers and operator accounts.
package config

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// View is an immutable snapshot of the configuration.
type View struct {
	// Revision is the object API version of the last change in the view. It increases monotonically.
	Revision      uint64
	Organisations map[string]*rookpassv1.Organisation
	Definitions   map[string]*rookpassv1.Definition
	Backends      map[string]*rookpassv1.BackendServer
	Operators     map[string]*rookpassv1.OperatorAccount
	// Versions holds the version of each object by key.
	Versions map[string]uint64
}

func newView() *View {
	return &View{
		Organisations: map[string]*rookpassv1.Organisation{},
		Definitions:   map[string]*rookpassv1.Definition{},
		Backends:      map[string]*rookpassv1.BackendServer{},
		Operators:     map[string]*rookpassv1.OperatorAccount{},
		Versions:      map[string]uint64{},
	}
}

func (v *View) clone() *View {
	return &View{
		Revision:      v.Revision,
		Organisations: maps.Clone(v.Organisations),
		Definitions:   maps.Clone(v.Definitions),
		Backends:      maps.Clone(v.Backends),
		Operators:     maps.Clone(v.Operators),
		Versions:      maps.Clone(v.Versions),
	}
}

// Store holds the current view. Readers load it without a lock; updates from the watch or from a peer with a newer
// configuration replace it. An older configuration never replaces a newer one.
type Store struct {
	view atomic.Pointer[View]

	mu   sync.Mutex
	next *View
	// asOf is the version up to which the view includes all changes; confirmed is the time of the last confirmation.
	asOf      uint64
	confirmed time.Time
	// raw holds the objects as stored, for peers that cannot reach the object API.
	raw     map[string]objectapi.Object
	changed chan struct{}
	// loaded is closed once the configuration has been read for the first time.
	loaded chan struct{}
}

// NewStore returns a Store with an empty view.
func NewStore() *Store {
	s := &Store{raw: map[string]objectapi.Object{}, changed: make(chan struct{}), loaded: make(chan struct{})}
	s.view.Store(newView())
	return s
}

// View returns the current view, which must not be modified.
func (s *Store) View() *View { return s.view.Load() }

// Fresh reports whether the object API or a peer confirmed the view within the last maxAge.
func (s *Store) Fresh(maxAge time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.confirmed.IsZero() && time.Since(s.confirmed) <= maxAge
}

// AsOf returns the object API version up to which the view includes all changes. A change is in force at this daemon
// once AsOf has reached its version.
func (s *Store) AsOf() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// Loaded returns a channel that is closed once the configuration has been read for the first time.
func (s *Store) Loaded() <-chan struct{} { return s.loaded }

// Changed returns a channel that is closed at the next change of the view.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Prefix implements watch.Handler.
func (s *Store) Prefix() string { return keyspace.Config }

// Reset implements watch.Handler. It ignores a list older than AsOf, so that a stale read does not restore an old
// configuration.
func (s *Store) Reset(objects []objectapi.Object, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset(objects, version)
}

func (s *Store) reset(objects []objectapi.Object, version uint64) {
	if version < s.asOf && guard.Enabled(guard.MonotonicConfig) {
		return
	}
	s.next = newView()
	s.next.Revision = version
	clear(s.raw)
	for _, object := range objects {
		s.put(object)
	}
}

// Change implements watch.Handler.
func (s *Store) Change(event objectapi.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = s.view.Load().clone()
	}
	if event.Version <= s.next.Revision {
		return
	}
	s.next.Revision = event.Version
	s.remove(event.Key)
	if !event.Deleted {
		s.put(event.Object)
	}
}

func (s *Store) put(object objectapi.Object) {
	kind, name, ok := keyspace.SplitConfig(object.Key)
	if !ok {
		return
	}
	decoded := &rookpassv1.Object{}
	unmarshal := protojson.UnmarshalOptions{DiscardUnknown: true}
	if unmarshal.Unmarshal(object.Value, decoded) != nil {
		return
	}
	s.raw[object.Key] = object
	s.next.Versions[object.Key] = object.Version
	switch kind {
	case organisationPath:
		s.next.Organisations[name] = decoded.GetOrganisation()
	case definitionPath:
		s.next.Definitions[name] = decoded.GetDefinition()
	case backendPath:
		s.next.Backends[name] = decoded.GetBackendServer()
	case operatorPath:
		s.next.Operators[name] = decoded.GetOperator()
	}
}

func (s *Store) remove(key string) {
	kind, name, ok := keyspace.SplitConfig(key)
	if !ok {
		return
	}
	delete(s.raw, key)
	delete(s.next.Versions, key)
	switch kind {
	case organisationPath:
		delete(s.next.Organisations, name)
	case definitionPath:
		delete(s.next.Definitions, name)
	case backendPath:
		delete(s.next.Backends, name)
	case operatorPath:
		delete(s.next.Operators, name)
	}
}

// Confirm implements watch.Handler.
func (s *Store) Confirm(version uint64, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.asOf || !guard.Enabled(guard.MonotonicConfig) {
		s.confirm(version)
	}
}

// confirm publishes the pending view, if any, and records the version and time of the confirmation.
func (s *Store) confirm(version uint64) {
	if s.confirmed.IsZero() {
		close(s.loaded)
	}
	s.asOf = version
	s.confirmed = time.Now()
	if s.next == nil {
		return
	}
	s.view.Store(s.next)
	s.next = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// SourceUnavailable implements watch.Handler.
func (s *Store) SourceUnavailable() {}

// Export returns the configuration as stored, for a peer that cannot reach the object API.
func (s *Store) Export() objectapi.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := objectapi.Snapshot{Version: s.asOf}
	for _, object := range s.raw {
		snapshot.Objects = append(snapshot.Objects, object)
	}
	return snapshot
}

// ConfirmByPeer confirms the view against a peer's fresh configuration, whose last change is at revision and which
// includes all changes up to asOf. It returns false if this daemon's view misses that change; the caller should then
// import the peer's Export.
func (s *Store) ConfirmByPeer(revision, asOf uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asOf < revision {
		return false
	}
	s.confirm(max(s.asOf, asOf))
	return true
}

// Import replaces the view with a peer's export if the export is newer.
func (s *Store) Import(snapshot objectapi.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.asOf {
		return
	}
	s.reset(snapshot.Objects, snapshot.Version)
	s.confirm(snapshot.Version)
}
