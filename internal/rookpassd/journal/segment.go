// Package journal makes the programs' history durable: a daemon's incarnation writes one log, a row of
// segment objects numbered from 1 without gaps, each created only if its key is free.
//
// The same rule ends a log. Whoever creates the next segment first decides: a daemon that takes over
// creates a seal there, and from then on the old writer's next segment meets a conflict. So a record is
// durable exactly if it stands before the seal, whatever the writer's clock says.
package journal

import (
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
)

// Error is the class of this package's errors.
var Error = errs.Class("journal")

// maxSegmentBytes bounds a decoded segment, against damaged or hostile objects.
const maxSegmentBytes = 16 << 20

// Both coders are safe for concurrent use through EncodeAll and DecodeAll.
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

// DecodeSegment reads what EncodeSegment made.
func DecodeSegment(stored []byte) (*peerv1.Segment, error) {
	raw, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, Error.New("segment is damaged: %v", err)
	}
	segment := &peerv1.Segment{}
	if err := proto.Unmarshal(raw, segment); err != nil {
		return nil, Error.New("segment is damaged: %v", err)
	}
	return segment, nil
}
