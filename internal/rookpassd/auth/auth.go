// Package auth authenticates callers and operators by their secrets. Secrets are random and at least MinSecretBytes
// long; they are stored as the hashes of internal/base/secret.
package auth

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/secret"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
)

// MinSecretBytes is the minimum length of a secret.
const MinSecretBytes = 32

// secretRandomBytes is the number of random bytes in a new secret.
const secretRandomBytes = 32

// RootOperator is the built-in operator, whose secret hash is in the daemons' settings.
const RootOperator = "root"

// NewSecret returns a new secret and its hash.
func NewSecret() (text, hash string) {
	random := make([]byte, secretRandomBytes)
	_, _ = rand.Read(random) // crypto/rand.Read never fails.
	text = base64.RawURLEncoding.EncodeToString(random)
	return text, Hash(text)
}

// Hash returns the stored form of a secret.
func Hash(text string) string { return secret.HashOf(text).Hex() }

// Header returns the authorization header for a name and secret.
func Header(name, secret string) string { return "Bearer " + name + ":" + secret }

// parseHeader returns the name and secret in an authorization header.
func parseHeader(header string) (name, secret string, err error) {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	name, secret, colon := strings.Cut(token, ":")
	if !bearer || !colon || name == "" || len(secret) < MinSecretBytes {
		return "", "", errDenied
	}
	return name, secret, nil
}

// errDenied is returned for malformed headers, unknown names and wrong secrets alike.
var errDenied = verdict.Refuse(verdict.Unauthenticated, "name or secret is wrong")

// Caller returns the organisation that an authorization header authenticates.
func Caller(view *config.View, header string) (string, error) {
	name, secret, err := parseHeader(header)
	if err != nil {
		return "", err
	}
	if !matches(secret, view.Organisations[name].GetSecretHashes()) {
		return "", errDenied
	}
	return name, nil
}

// Operator returns the operator that an authorization header authenticates, and its role. rootHash is the hash of the
// root operator's secret.
func Operator(view *config.View, rootHash, header string) (string, rookpassv1.Role, error) {
	name, secret, err := parseHeader(header)
	if err != nil {
		return "", 0, err
	}
	if name == RootOperator {
		if !matches(secret, []string{rootHash}) {
			return "", 0, errDenied
		}
		return name, rookpassv1.Role_ROLE_ADMIN, nil
	}
	account := view.Operators[name]
	if !matches(secret, account.GetSecretHashes()) {
		return "", 0, errDenied
	}
	return name, account.Role, nil
}

// matches reports whether one of the hashes is that of secret. It compares in constant time.
func matches(secret string, hashes []string) bool {
	hash := []byte(Hash(secret))
	found := 0
	for _, stored := range hashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(stored)))
	}
	return found == 1
}
