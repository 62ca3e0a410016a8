package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Key identifies the content of a request: a hash of its organisation and of all that a server gets, without what differs
// between the attempts of a caller.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyBuilder computes a Key from the fields of a request. Its hash is cryptographic: no organisation can make a request
// with the key of another's.
type KeyBuilder struct{ hash hash.Hash }

// NewKeyBuilder returns a builder without fields.
func NewKeyBuilder() *KeyBuilder { return &KeyBuilder{sha256.New()} }

// Add adds a field. Fields are delimited by their lengths.
func (b *KeyBuilder) Add(field string) { b.AddBytes([]byte(field)) }

// AddBytes adds a field.
func (b *KeyBuilder) AddBytes(field []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	b.hash.Write(length[:])
	b.hash.Write(field)
}

// Key returns the key of the fields added so far.
func (b *KeyBuilder) Key() Key { return Key(b.hash.Sum(nil)[:len(Key{})]) }
