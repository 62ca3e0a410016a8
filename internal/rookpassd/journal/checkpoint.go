package journal

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// maxChunkBytes is the maximum size of one object of a checkpoint.
const maxChunkBytes = 960 << 10

// windowBytes is the window size of the zstd encoder. It limits the memory used while a checkpoint is written.
const windowBytes = 256 << 10

// maxSnapshotBytes limits one program's decoded snapshot, as a protection against corrupt objects.
const maxSnapshotBytes = 64 << 20

// WriteCheckpoint writes marshalled snapshots as one compressed stream, split into objects under prefix. It returns
// the number of objects written, also on error.
func WriteCheckpoint(ctx context.Context, prefix string, snapshots [][]byte,
	write func(ctx context.Context, key string, value []byte) error) (uint32, error) {
	var compressed bytes.Buffer
	encoder, err := zstd.NewWriter(&compressed, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var chunks uint32
	flush := func(limit int) error {
		for compressed.Len() > limit {
			value := bytes.Clone(compressed.Next(maxChunkBytes))
			if err := write(ctx, keyspace.CheckpointChunk(prefix, chunks), value); err != nil {
				return Error.New("checkpoint %s: %w", prefix, err)
			}
			chunks++
		}
		return nil
	}
	for _, snapshot := range snapshots {
		// The length prefix has the format that protodelim reads.
		if _, err := encoder.Write(binary.AppendUvarint(nil, uint64(len(snapshot)))); err != nil {
			return chunks, Error.Wrap(err)
		}
		if _, err := encoder.Write(snapshot); err != nil {
			return chunks, Error.Wrap(err)
		}
		if err := flush(maxChunkBytes); err != nil {
			return chunks, err
		}
	}
	if err := encoder.Close(); err != nil {
		return chunks, Error.Wrap(err)
	}
	return chunks, flush(0)
}

// ReadCheckpoint calls visit with each snapshot of a checkpoint. A checkpoint with 0 chunks is empty; one without
// programs has a chunk too, which is not empty.
func ReadCheckpoint(ctx context.Context, api objectapi.API, prefix string, chunks uint32, visit func(*peerv1.ProgramSnapshot)) error {
	if chunks == 0 {
		return nil
	}
	var compressed bytes.Buffer
	for chunk := range chunks {
		object, err := api.Get(ctx, keyspace.CheckpointChunk(prefix, chunk))
		if err != nil {
			return Error.New("checkpoint %s: %w", prefix, err)
		}
		if len(object.Value) == 0 {
			return Error.New("checkpoint %s is damaged: object %d of %d is empty", prefix, chunk+1, chunks)
		}
		compressed.Write(object.Value)
	}
	return decodeCheckpoint(&compressed, visit)
}

func decodeCheckpoint(compressed io.Reader, visit func(*peerv1.ProgramSnapshot)) error {
	decoder, err := zstd.NewReader(compressed, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return Error.Wrap(err)
	}
	defer decoder.Close()
	var stream bytes.Buffer
	if _, err := stream.ReadFrom(decoder); err != nil {
		return Error.New("checkpoint is damaged: %v", err)
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxSnapshotBytes}
	for stream.Len() > 0 {
		snapshot := &peerv1.ProgramSnapshot{}
		if err := options.UnmarshalFrom(&stream, snapshot); err != nil {
			return Error.New("checkpoint is damaged: %v", err)
		}
		visit(snapshot)
	}
	return nil
}
