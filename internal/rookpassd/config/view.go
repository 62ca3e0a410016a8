// Package config is each daemon's copy of the configuration that operators made: organisations, program
// definitions, backend servers and operator accounts.
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

// View is an immutable state of the configuration.
type View struct {
	// Revision is the object API's version of the last change that the view shows. It only ever rises.
	Revision      uint64
	Organisations map[string]*rookpassv1.Organisation
	Definitions   map[string]*rookpassv1.Definition
	Backends      map[string]*rookpassv1.BackendServer
	Operators     map[string]*rookpassv1.OperatorAccount
	// Versions holds each object's own version, by key.
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

// Store keeps the view. Readers load it without a lock; the watch, or a peer that has seen a higher
// revision, replaces it. A lower revision never replaces a higher one.
type Store struct {
	view atomic.Pointer[View]

	mu   sync.Mutex
	next *View
	// asOf is the version up to which no change is missing; confirmed is when that was last learnt.
	asOf      uint64
	confirmed time.Time
	// raw holds the objects as stored, for peers that can't reach the object API.
	raw     map[string]objectapi.Object
	changed chan struct{}
	// loaded is closed once the configuration has been read for the first time.
	loaded chan struct{}
}

// NewStore returns a store without configuration.
func NewStore() *Store {
	s := &Store{raw: map[string]objectapi.Object{}, changed: make(chan struct{}), loaded: make(chan struct{})}
	s.view.Store(newView())
	return s
}

// View returns the present view. It must not be changed.
func (s *Store) View() *View { return s.view.Load() }

// Fresh tells whether the view was confirmed, by the object API or a peer, within maxAge.
func (s *Store) Fresh(maxAge time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.confirmed.IsZero() && time.Since(s.confirmed) <= maxAge
}

// AsOf returns the object API's version up to which the view misses no change. A change is in force here
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

// Reset implements watch.Handler. A list older than the present view is ignored: a stale read must not
// bring old rules back.
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

// confirm puts what was changed in force.
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

// Export returns the configuration as stored, for a peer that can't reach the object API.
func (s *Store) Export() objectapi.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := objectapi.Snapshot{Version: s.asOf}
	for _, object := range s.raw {
		snapshot.Objects = append(snapshot.Objects, object)
	}
	return snapshot
}

// ConfirmByPeer takes the word of a peer whose configuration is fresh: its last change is at revision, and
// it misses nothing up to asOf. It returns false when this daemon's view misses that change; the peer's
// Export should then be imported.
func (s *Store) ConfirmByPeer(revision, asOf uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asOf < revision {
		return false
	}
	s.confirm(max(s.asOf, asOf))
	return true
}

// Import takes a peer's export if it is newer than the present view.
func (s *Store) Import(snapshot objectapi.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.asOf {
		return
	}
	s.reset(snapshot.Objects, snapshot.Version)
	s.confirm(snapshot.Version)
}
