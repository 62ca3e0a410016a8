// Package journal makes the programs' history durable. Each incarnation of a daemon writes one log: a sequence of
// segment objects numbered from 1 without gaps, each created only if its key does not exist.
//
// A daemon that takes over seals the log by creating a seal object at the next segment's key. The old writer's next
// segment then fails with a conflict. A record of a sealed log is therefore durable exactly if it precedes the seal,
// independent of clocks.
package journal

import (
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
)

// Error is the class of this package's errors.
var Error = errs.Class("journal")

// maxSegmentBytes limits a decoded segment, as a protection against corrupt or malicious objects.
const maxSegmentBytes = 16 << 20

// EncodeAll and DecodeAll are safe for concurrent use.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxSegmentBytes))
)

// EncodeSegment returns the stored form of a segment.
func EncodeSegment(segment *peerv1.Segment) ([]byte, error) {
	raw, err := proto.Marshal(segment)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return encoder.EncodeAll(raw, nil), nil
}

// DecodeSegment decodes the stored form of a segment. A segment without content is damaged: each one names the
// incarnation that wrote the log.
func DecodeSegment(stored []byte) (*peerv1.Segment, error) {
	raw, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, Error.New("segment is damaged: %v", err)
	}
	if len(raw) == 0 {
		return nil, Error.New("segment is damaged: it has no content")
	}
	segment := &peerv1.Segment{}
	if err := proto.Unmarshal(raw, segment); err != nil {
		return nil, Error.New("segment is damaged: %v", err)
	}
	return segment, nil
}
