package settings_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/rookpassd/settings"
)

const valid = `{
  // A daemon.
  "name": "d1", "data_centre": "dakar-1",
  "caller_address": "127.0.0.1:1", "http_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3", "forward_address": "[::1]:4",
  "object_api_address": "127.0.0.1:5", "plaintext": true,
  "operator_secret_hash": "0000000000000000000000000000000000000000000000000000000000000000",
}`

func TestParse(t *testing.T) {
	s, err := settings.Parse("f", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "d1")
	assert.Equal(t, s.Partitions, uint32(64))
}

func TestParseReportsEveryProblem(t *testing.T) {
	text := strings.NewReplacer(
		`"name": "d1"`, `"name": "D 1"`,
		`"127.0.0.1:1"`, `"localhost:1"`,
		`"plaintext": true`, `"partitions": 0, "lease_ttl": 5`,
	).Replace(valid)
	_, err := settings.Parse("f", []byte(text))
	var problems settings.Problems
	assert.Assert(t, errors.As(err, &problems))
	for _, part := range []string{
		"f: name:", `f: caller_address: "localhost:1" is not an IP:port`, "f: partitions: 0 breaks the rule min=1",
		"f:5: lease_ttl: unknown key", "f: tls.ca: required", "f: tls.key: required",
	} {
		assert.Assert(t, strings.Contains(err.Error(), part), "%q is not in:\n%v", part, err)
	}
}

func TestParseRejectsMalformedText(t *testing.T) {
	for _, row := range []struct{ name, text, want string }{
		{"no object", `[]`, "f"},
		{"cut off", `{"name": `, "f: "},
		{"wrong type", strings.Replace(valid, `"plaintext": true`, "\"plaintext\": true,\n\"partitions\": \"many\"", 1), "partitions: is a string"},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(row.text))
			assert.ErrorContains(t, err, row.want)
		})
	}
}

func TestDescribeLacksOnlyRequiredValues(t *testing.T) {
	_, err := settings.Parse("f", []byte(settings.Describe()))
	for problem := range strings.SplitSeq(err.Error(), "\n") {
		assert.Assert(t, strings.Contains(problem, "required"), "%s", problem)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"tls": {"ca": 1}, "tls": []}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := settings.Parse("f", text); err != nil && err.Error() == "" {
			t.Error("Parse returned an error with an empty message")
		}
	})
}
