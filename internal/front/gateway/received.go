package gateway

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// receivedResponse describes what servers sent in response to a request, for the log.
type receivedResponse struct {
	// framing is that of the last response; empty if there was none.
	framing upstream.Framing
	// streamed is set if events of responses are forwarded.
	streamed bool
	// events counts the whole events with data that were forwarded, of all responses.
	events int
	// unfinished counts the bytes of the last response after its last blank line.
	unfinished int64
}

// begin notes that a response was received. Events of earlier responses still count.
func (r *receivedResponse) begin(framing upstream.Framing) { r.framing, r.unfinished = framing, 0 }

func (r *receivedResponse) addTo(fields logrus.Fields) {
	if r.framing == "" {
		return
	}
	fields["framing"] = r.framing
	if r.streamed {
		fields["events"], fields["unfinished_bytes"] = r.events, r.unfinished
	}
}

// countResponse counts a response that has ended with an error or, if err is nil or io.EOF, without. It does not count one
// that was given up before its end.
func (x *exchange) countResponse(response *upstream.Response, err error) {
	ending := response.Ending()
	if errors.Is(err, errTruncatedEvent) || errors.Is(err, errNoEvents) {
		ending = upstream.EndingTruncated
	}
	if ending != upstream.EndingUnknown {
		x.g.stats.response(response.Framing, ending)
	}
}
