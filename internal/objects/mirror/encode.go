package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// maxSnapshotBytes limits a decoded snapshot. It allows for tens of thousands of servers.
const maxSnapshotBytes = 64 << 20

// encodedSnapshot is the cached encoding of one version of the copy.
type encodedSnapshot struct {
	version uint64
	data    []byte
}

// EncodedSnapshot returns the last known copy, gob-encoded and compressed, or nil if there is none. The result is
// cached per version and must not be modified.
func (m *Mirror) EncodedSnapshot() ([]byte, error) {
	m.encodeMu.Lock() // not mu, so that watches continue meanwhile
	defer m.encodeMu.Unlock()
	snapshot, known := m.LastKnown()
	if !known {
		return nil, nil
	}
	if m.encoded.data != nil && m.encoded.version == snapshot.Version {
		return m.encoded.data, nil
	}
	data, err := encode(snapshot)
	if err != nil {
		return nil, err
	}
	m.encoded = encodedSnapshot{snapshot.Version, data}
	return data, nil
}

func encode(snapshot objectapi.Snapshot) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := gob.NewEncoder(writer).Encode(snapshot); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot decodes the result of EncodedSnapshot.
func DecodeSnapshot(data []byte) (objectapi.Snapshot, error) {
	var snapshot objectapi.Snapshot
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSnapshotBytes)
	err := gob.NewDecoder(reader).Decode(&snapshot)
	return snapshot, Error.Wrap(err)
}
