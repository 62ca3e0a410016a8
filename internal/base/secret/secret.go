// Package secret represents secrets by their hashes only. Callers' keys and operators' secrets are long and random, so
// an unsalted SHA-256 can't be reversed by guessing.
package secret

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is the stored form of a secret.
type Hash [sha256.Size]byte

// HashOf returns the hash of a secret.
func HashOf(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// fingerprintBytes is the length of a fingerprint: a prefix of the hash that suffices to distinguish thousands of keys.
const fingerprintBytes = 4

// Fingerprint returns a short hexadecimal identifier of the secret for display.
func (h Hash) Fingerprint() string { return hex.EncodeToString(h[:fingerprintBytes]) }

// String returns the fingerprint, so that the full hash is not logged by mistake.
func (h Hash) String() string { return h.Fingerprint() }

// Hex returns the full hash in hexadecimal, as used in configurations.
func (h Hash) Hex() string { return hex.EncodeToString(h[:]) }
