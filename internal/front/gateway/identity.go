package gateway

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"

	"github.com/rookpass/rookpass/internal/decide/quarantine"
)

// attemptHeaders are standard headers that may differ between the attempts of one request.
var attemptHeaders = map[string]bool{
	"Age": true, "B3": true, "Baggage": true, "Date": true, "Forwarded": true, "Traceparent": true, "Tracestate": true, "Via": true,
	"X-B3-Parentspanid": true, "X-B3-Sampled": true, "X-B3-Spanid": true, "X-B3-Traceid": true, "X-Correlation-Id": true,
	"X-Forwarded-For": true, "X-Forwarded-Host": true, "X-Forwarded-Proto": true, "X-Request-Id": true,
}

// callerHeaders are standard headers that describe the caller and the form of the response, not the work of a server. Libraries set
// them, so that two of them may repeat one request with different ones.
var callerHeaders = map[string]bool{
	"Accept": true, "Accept-Charset": true, "Accept-Encoding": true, "Accept-Language": true, "Cache-Control": true, "Dnt": true,
	"Origin": true, "Pragma": true, "Priority": true, "Referer": true, "User-Agent": true,
}

// withIdentity computes the keys by which the request is recognised when it is repeated. The last covers all that a server
// gets, the program included. Requests with a body have another one before it, without the program, for callers that repeat
// a request in a new program. Without a body, what many programs have in common may be only a path. The first key covers what the
// server is to do, for callers that repeat a request with other headers.
func withIdentity(x *exchange) *refusal {
	ignored := x.g.headerCodec.HeaderRoles()
	body := sha256.Sum256(x.body)
	task, wide := quarantine.NewKeyBuilder(), quarantine.NewKeyBuilder()
	task.Add("task")
	target := x.r.RequestURI
	if len(x.body) > 0 {
		target, _, _ = strings.Cut(target, "?")
	}
	for _, field := range []string{x.organisationName(), x.r.Method, x.r.Host} {
		task.Add(field)
		wide.Add(field)
	}
	task.Add(target)
	wide.Add(x.r.RequestURI)
	task.AddBytes(body[:])
	wide.AddBytes(body[:])
	task.Add(x.requestInfo.PreviousTurn) // small bodies are the same in many chains
	var ofProgram []string
	for _, name := range slices.Sorted(maps.Keys(x.header)) {
		switch {
		case attemptHeaders[name] || ignored.OfAttempt[name]:
		case ignored.OfProgram[name]:
			ofProgram = append(ofProgram, name)
		default:
			addHeader(wide, name, x.header[name])
			if len(x.body) == 0 && !callerHeaders[name] { // headers may be all that tells what is asked for
				addHeader(task, name, x.header[name])
			}
		}
	}
	x.keys = append(x.keys, task.Key())
	if len(x.body) > 0 && len(ofProgram) > 0 {
		x.keys = append(x.keys, wide.Key())
	}
	for _, name := range ofProgram {
		addHeader(wide, name, x.header[name])
	}
	x.keys = append(x.keys, wide.Key())
	return nil
}

func addHeader(b *quarantine.KeyBuilder, name string, values []string) {
	b.Add(name)
	for _, value := range values {
		b.Add(value)
	}
}

// identity returns the key that covers the whole request; the zero key before it is known.
func (x *exchange) identity() quarantine.Key {
	if len(x.keys) == 0 {
		return quarantine.Key{}
	}
	return x.keys[len(x.keys)-1]
}
