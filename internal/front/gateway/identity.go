package gateway

import (
	"maps"
	"slices"

	"github.com/rookpass/rookpass/internal/decide/quarantine"
)

// attemptHeaders are standard headers that may differ between the attempts of one request.
var attemptHeaders = map[string]bool{
	"Age": true, "B3": true, "Baggage": true, "Date": true, "Forwarded": true, "Traceparent": true, "Tracestate": true, "Via": true,
	"X-B3-Parentspanid": true, "X-B3-Sampled": true, "X-B3-Spanid": true, "X-B3-Traceid": true, "X-Correlation-Id": true,
	"X-Forwarded-For": true, "X-Forwarded-Host": true, "X-Forwarded-Proto": true, "X-Request-Id": true,
}

// withIdentity computes the keys by which the request is recognised when it is repeated. The last covers all that a server
// gets, the program included. Requests with a body have another one before it, without the program, for callers that repeat
// a request in a new program. Without a body, what many programs have in common may be only a path.
func withIdentity(x *exchange) *refusal {
	ignored := x.g.headerCodec.HeaderRoles()
	wide := quarantine.NewKeyBuilder()
	for _, field := range []string{x.organisationName(), x.r.Method, x.r.Host, x.r.RequestURI} {
		wide.Add(field)
	}
	wide.AddBytes(x.body)
	var ofProgram []string
	for _, name := range slices.Sorted(maps.Keys(x.header)) {
		switch {
		case attemptHeaders[name] || ignored.OfAttempt[name]:
		case ignored.OfProgram[name]:
			ofProgram = append(ofProgram, name)
		default:
			addHeader(wide, name, x.header[name])
		}
	}
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
