// Package auth checks the secrets of callers and operators. Secrets are random and at least MinSecretBytes
// long; they are stored as internal/base/secret says.
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

// MinSecretBytes is the least length of a secret.
const MinSecretBytes = 32

// randomBytes of a new secret.
const randomBytes = 32

// RootOperator is the operator whose secret stands in the daemons' settings.
const RootOperator = "root"

// NewSecret returns a new secret and its hash.
func NewSecret() (text, hash string) {
	random := make([]byte, randomBytes)
	_, _ = rand.Read(random) // crypto/rand.Read never fails.
	text = base64.RawURLEncoding.EncodeToString(random)
	return text, Hash(text)
}

// Hash returns the stored form of a secret.
func Hash(text string) string { return secret.HashOf(text).Hex() }

// Header returns the authorization header of a name and secret.
func Header(name, secret string) string { return "Bearer " + name + ":" + secret }

// split takes an authorization header apart.
func split(header string) (name, secret string, err error) {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	name, secret, colon := strings.Cut(token, ":")
	if !bearer || !colon || name == "" || len(secret) < MinSecretBytes {
		return "", "", errDenied
	}
	return name, secret, nil
}

// errDenied is the same for an unknown name and a wrong secret.
var errDenied = verdict.Refuse(verdict.Unauthenticated, "name or secret is wrong")

// Caller returns the organisation that an authorization header proves.
func Caller(view *config.View, header string) (string, error) {
	name, secret, err := split(header)
	if err != nil {
		return "", err
	}
	if !matches(secret, view.Organisations[name].GetSecretHashes()) {
		return "", errDenied
	}
	return name, nil
}

// Operator returns the operator and role that an authorization header proves. rootHash is the stored secret
// of the built-in operator.
func Operator(view *config.View, rootHash, header string) (string, rookpassv1.Role, error) {
	name, secret, err := split(header)
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

// matches compares in constant time.
func matches(secret string, hashes []string) bool {
	hash := []byte(Hash(secret))
	found := 0
	for _, stored := range hashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(stored)))
	}
	return found == 1
}
