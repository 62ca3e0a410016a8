package journal

import (
	"context"
	"errors"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// Read returns the segments from..to of a log, both included. It returns an error if one of them is missing.
func Read(ctx context.Context, api objectapi.API, incarnation string, from, to uint64) ([]*peerv1.Segment, error) {
	var segments []*peerv1.Segment
	for number := from; number <= to; number++ {
		segment, err := readSegment(ctx, api, incarnation, number)
		if err != nil {
			return nil, Error.New("segment %d of %s: %w", number, incarnation, err)
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// Seal ends the log of an incarnation and returns its segments after the given one. Any daemon may call it,
// repeatedly and concurrently: the first seal is kept. The writer of a sealed log can't make further records durable.
//
// by is the incarnation that seals the log and reason says why; both are stored in the seal.
func Seal(ctx context.Context, api objectapi.API, incarnation string, after uint64, by, reason string) ([]*peerv1.Segment, error) {
	var segments []*peerv1.Segment
	for number := after + 1; ; {
		segment, err := readSegment(ctx, api, incarnation, number)
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			if err := putSeal(ctx, api, incarnation, number, by, reason); err != nil {
				return nil, err
			}
			// Read again: the key now holds this seal, another seal, or a segment that was written first.
		case err != nil:
			return nil, Error.New("sealing %s at %d: %w", incarnation, number, err)
		case segment.Seal != nil:
			return segments, nil
		default:
			segments = append(segments, segment)
			number++
		}
	}
}

// ReadUnsealed returns the segments of a log after the given one without sealing it. It has the signature of Seal,
// so that a test can replace Seal and check that the missing seal is detected.
func ReadUnsealed(ctx context.Context, api objectapi.API, incarnation string, after uint64, _, _ string) ([]*peerv1.Segment, error) {
	var segments []*peerv1.Segment
	for number := after + 1; ; number++ {
		segment, err := readSegment(ctx, api, incarnation, number)
		if errors.Is(err, objectapi.ErrNotFound) {
			return segments, nil
		}
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
}

// putSeal tries to create a seal. Conflicts and unknown outcomes are not errors, because the caller reads the key
// again.
func putSeal(ctx context.Context, api objectapi.API, incarnation string, number uint64, by, reason string) error {
	stored, err := EncodeSegment(&peerv1.Segment{
		Incarnation: incarnation, Number: number, Seal: &peerv1.Seal{By: by, Reason: reason},
	})
	if err != nil {
		return err
	}
	_, err = api.Put(ctx, keyspace.Segment(incarnation, number), stored, objectapi.MustNotExist)
	if err == nil || errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrUnknownOutcome) {
		return nil
	}
	return Error.New("sealing %s: %w", incarnation, err)
}

func readSegment(ctx context.Context, api objectapi.API, incarnation string, number uint64) (*peerv1.Segment, error) {
	object, err := api.Get(ctx, keyspace.Segment(incarnation, number))
	if err != nil {
		return nil, err
	}
	return DecodeSegment(object.Value)
}
