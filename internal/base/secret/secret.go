// Package secret keeps secrets as hashes only. Keys of callers and secrets of operators are random and long, so a plain
// SHA-256 can be stored: there is nothing to guess.
package secret

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is the stored form of a secret.
type Hash [sha256.Size]byte

// HashOf returns a secret's hash.
func HashOf(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// fingerprintBytes of a hash tell a few thousand keys apart and let nobody find one.
const fingerprintBytes = 4

// Fingerprint returns a short name of the secret, for people.
func (h Hash) Fingerprint() string { return hex.EncodeToString(h[:fingerprintBytes]) }

// String returns the fingerprint, so that not even the whole hash gets into a log by mistake.
func (h Hash) String() string { return h.Fingerprint() }

// Hex returns the whole hash, as configurations hold it.
func (h Hash) Hex() string { return hex.EncodeToString(h[:]) }
