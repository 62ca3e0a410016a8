package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// maxListBytes bounds an unpacked list: some ten thousand servers' entries.
const maxListBytes = 64 << 20

// packed is a list as it travels, made once for each version of the copy.
type packed struct {
	version uint64
	data    []byte
}

// EncodedSnapshot returns the copy as it was when the API answered last, packed for the way; nothing where there is none. It is
// shared: nobody may change it.
func (m *Mirror) EncodedSnapshot() ([]byte, error) {
	m.packing.Lock() // apart from mu, so that watches go on meanwhile
	defer m.packing.Unlock()
	snapshot, known := m.LastKnown()
	if !known {
		return nil, nil
	}
	if m.packed.data != nil && m.packed.version == snapshot.Version {
		return m.packed.data, nil
	}
	data, err := pack(snapshot)
	if err != nil {
		return nil, err
	}
	m.packed = packed{snapshot.Version, data}
	return data, nil
}

func pack(snapshot objectapi.Snapshot) ([]byte, error) {
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

// DecodeSnapshot returns the list that data holds.
func DecodeSnapshot(data []byte) (objectapi.Snapshot, error) {
	var snapshot objectapi.Snapshot
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxListBytes)
	err := gob.NewDecoder(reader).Decode(&snapshot)
	return snapshot, Error.Wrap(err)
}
