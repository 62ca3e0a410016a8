package backend

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// Service is the client of one tool service or plain service.
type Service struct{ client *httpclient.Client }

// NewService returns a client. idle limits the time without any byte from the service.
func NewService(addr string, dial httpclient.DialFunc, idle time.Duration) *Service {
	return &Service{client: httpclient.New(addr, dial, idle)}
}

// Response is the complete response of a service.
type Response struct {
	Status int
	Body   []byte
}

// ToolPath returns the path at which a tool service serves a tool.
func ToolPath(name string) string { return "/v1/tools/" + url.PathEscape(name) }

// Send sends one request: GET if it is idempotent and has no body, POST otherwise. Any response other than a
// refusal is returned without an error, whatever its status.
func (s *Service) Send(ctx context.Context, path string, body []byte, requestID string, idempotent bool) (Response, error) {
	r := httpclient.Request{
		Method:     http.MethodPost,
		Path:       path,
		Body:       body,
		Header:     map[string]string{"X-Request-Id": requestID},
		AtMostOnce: !idempotent,
	}
	if idempotent && len(body) == 0 {
		r.Method = http.MethodGet
	}
	resp, err := s.client.Do(ctx, r)
	if err != nil {
		return Response{}, sendError(err)
	}
	if err := refusal(s.client.Addr(), resp); err != nil {
		resp.Close()
		return Response{}, err
	}
	answer, err := resp.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		return Response{}, verdict.Unknown(verdict.Unavailable, failureRetry, "%s: reading the response: %v", s.client.Addr(), err)
	}
	return Response{Status: resp.Status, Body: answer}, nil
}

// Close closes the client's idle connections.
func (s *Service) Close() { s.client.Close() }
