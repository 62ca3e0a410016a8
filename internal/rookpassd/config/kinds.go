package config

import (
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// Names of kinds in object API keys.
const (
	organisationPath = "organisation"
	definitionPath   = "definition"
	backendPath      = "backend"
	operatorPath     = "operator"
)

var kindPaths = map[rookpassv1.Kind]string{
	rookpassv1.Kind_KIND_ORGANISATION:   organisationPath,
	rookpassv1.Kind_KIND_DEFINITION:     definitionPath,
	rookpassv1.Kind_KIND_BACKEND_SERVER: backendPath,
	rookpassv1.Kind_KIND_OPERATOR:       operatorPath,
}

// Key returns the object API key of a configuration object, and whether its kind is known.
func Key(key *rookpassv1.ObjectKey) (string, bool) {
	path, known := kindPaths[key.GetKind()]
	return keyspace.ConfigObject(path, key.GetName()), known
}

// Prefix returns the object API prefix of a kind, and whether the kind is known.
func Prefix(kind rookpassv1.Kind) (string, bool) {
	path, known := kindPaths[kind]
	return keyspace.Config + path + "/", known
}
