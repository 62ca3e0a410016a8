package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/metrics"
)

func TestServeHTTP(t *testing.T) {
	r := metrics.New()
	r.Count("rookpass_attempts_total", "200")
	r.Count("rookpass_attempts_total", "200")
	r.Gauge("rookpass_servers", func() float64 { return 37 })
	for _, ms := range []int{1, 3, 700, 60000} {
		r.Observe("rookpass_request_seconds", "answered", time.Duration(ms)*time.Millisecond)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	page := w.Body.String()
	for _, line := range []string{
		`rookpass_attempts_total{outcome="200"} 2`,
		`rookpass_servers 37`,
		`rookpass_request_seconds_bucket{outcome="answered",le="0.001"} 1`,
		`rookpass_request_seconds_bucket{outcome="answered",le="0.005"} 2`,
		`rookpass_request_seconds_bucket{outcome="answered",le="1"} 3`,
		`rookpass_request_seconds_bucket{outcome="answered",le="+Inf"} 4`,
		`rookpass_request_seconds_count{outcome="answered"} 4`,
	} {
		assert.Assert(t, strings.Contains(page, line+"\n"), "%s is missing in\n%s", line, page)
	}
}
