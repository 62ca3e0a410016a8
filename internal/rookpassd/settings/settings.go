// Package settings reads a daemon's settings file: JSON with comments and trailing commas. Configuration shared by all
// daemons is stored in the object API instead.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Settings holds the settings of one daemon. Durations are in milliseconds, sizes in bytes.
type Settings struct {
	// Name is unique among daemons: lower-case letters, digits and '-'.
	Name string `json:"name" validate:"required,max=63,hostname_rfc1123" help:"unique name of this daemon"`
	// DataCentre is where the daemon runs.
	DataCentre string `json:"data_centre" validate:"required,max=63" help:"data centre of this daemon"`
	// CallerAddress serves callers and operators over gRPC.
	CallerAddress string `json:"caller_address" validate:"required,ipport" help:"IP:port for callers and operators (gRPC)"`
	// HTTPAddress serves plain lookups, health and metrics.
	HTTPAddress string `json:"http_address" validate:"required,ipport" help:"IP:port for plain lookups, health and metrics (HTTP)"`
	// PeerAddress serves other daemons over net/rpc.
	PeerAddress string `json:"peer_address" validate:"required,ipport" help:"IP:port for other daemons' control calls (net/rpc)"`
	// ForwardAddress serves calls that other daemons forward, over gRPC.
	ForwardAddress string `json:"forward_address" validate:"required,ipport" help:"IP:port for forwarded calls (gRPC)"`
	// ObjectAPIAddress is the address of the platform's object API.
	ObjectAPIAddress string `json:"object_api_address" validate:"required,ipport" help:"IP:port of the object API"`
	// OperatorSecretHash is the SHA-256, in hex, of the secret of the built-in operator "root".
	OperatorSecretHash string `json:"operator_secret_hash" validate:"required,len=64,hexadecimal" help:"SHA-256 in hex of the secret of the operator 'root'"`

	// Plaintext allows running without TLS.
	Plaintext bool `json:"plaintext" help:"serve and dial without TLS; for development only"`
	// TLS names the key files; required unless Plaintext.
	TLS TLS `json:"tls" help:"key files, read again when they change"`

	// Partitions is the number of partitions, the same for every daemon of a cluster.
	Partitions uint32 `json:"partitions" validate:"min=1,max=65536" help:"partitions of the cluster; can't be changed later"`
	// LeaseTTLMillis is the lease's time to live.
	LeaseTTLMillis int64 `json:"lease_ttl_ms" validate:"min=1000,max=600000" help:"time to live of the daemon's lease, ms"`
	// WatchPaceMillis is the minimum time between two watch calls.
	WatchPaceMillis int64 `json:"watch_pace_ms" validate:"min=0,max=10000" help:"least time between two watch calls to the object API, ms"`
	// WritesPerSecond limits this daemon's writes to the object API.
	WritesPerSecond float64 `json:"writes_per_second" validate:"gt=0,max=100000" help:"this daemon's share of the object API's writes, 1/s"`
	// MaxPendingBytes bounds the log records in memory that are not durable yet.
	MaxPendingBytes int `json:"max_pending_bytes" validate:"min=1048576" help:"bound on undurable records in memory, bytes"`
	// MaxConfigAgeMillis is how long the daemon accepts new work after the last confirmation of its configuration.
	MaxConfigAgeMillis int64 `json:"max_config_age_ms" validate:"min=1000" help:"new work is refused when the configuration is older, ms"`
	// CheckpointSegments is the number of log segments after which a partition is checkpointed.
	CheckpointSegments uint64 `json:"checkpoint_segments" validate:"min=8" help:"log segments after which a partition is checkpointed"`
	// RetentionMillis is how long an ended program's answers are retained.
	RetentionMillis int64 `json:"retention_ms" validate:"min=1000" help:"how long an ended program can be read, ms"`
	// DrainTimeoutMillis bounds the duration of a planned stop.
	DrainTimeoutMillis int64 `json:"drain_timeout_ms" validate:"min=0" help:"longest planned stop, ms"`

	// LogLevel is debug, info, warning or error.
	LogLevel string `json:"log_level" validate:"oneof=debug info warning error" help:"debug, info, warning or error"`
	// TraceFile is the file to which spans are written as JSON lines; empty disables it.
	TraceFile string `json:"trace_file" help:"file for spans as JSON lines; empty for none"`
	// OTLPAddress is the address to which spans are exported over OTLP; empty disables it.
	OTLPAddress string `json:"otlp_address" validate:"omitempty,ipport" help:"IP:port of an OTLP collector (gRPC); empty for none"`
}

// TLS holds the paths of PEM files.
type TLS struct {
	// CA is the certificate of the authority that signs daemons' certificates.
	CA string `json:"ca" help:"PEM file of the authority for daemons"`
	// Certificate and Key are this daemon's certificate and private key.
	Certificate string `json:"certificate" help:"PEM file of this daemon's certificate"`
	Key         string `json:"key" help:"PEM file of this daemon's key"`
}

// Default returns the default values of optional settings.
func Default() Settings {
	return Settings{
		Partitions:         64,
		LeaseTTLMillis:     6000,
		WatchPaceMillis:    100,
		WritesPerSecond:    40,
		MaxPendingBytes:    64 << 20,
		MaxConfigAgeMillis: 30000,
		CheckpointSegments: 256,
		RetentionMillis:    600000,
		DrainTimeoutMillis: 120000,
		LogLevel:           "info",
	}
}

// Problems lists all errors in a settings file.
type Problems []string

// Error returns all problems, one per line.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// Load reads and validates a settings file. If the file is readable but invalid, the error is of type Problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a settings file. path is used only in messages.
func Parse(path string, text []byte) (Settings, error) {
	s := Default()
	standard, err := hujson.Standardize(text)
	if err != nil {
		return s, Problems{fmt.Sprintf("%s: %v", path, err)}
	}
	problems := unknownKeys(path, standard, reflect.TypeFor[Settings](), "")
	var wrongType *json.UnmarshalTypeError
	if err := json.Unmarshal(standard, &s); errors.As(err, &wrongType) {
		line := 1 + bytes.Count(standard[:wrongType.Offset], []byte("\n"))
		problems = append(problems, fmt.Sprintf("%s:%d: %s: is a %s, not a %s", path, line, wrongType.Field, wrongType.Value, wrongType.Type))
	} else if err != nil {
		problems = append(problems, fmt.Sprintf("%s: %v", path, err))
	}
	problems = append(problems, check(path, &s)...)
	if len(problems) > 0 {
		slices.Sort(problems)
		return s, problems
	}
	return s, nil
}

// unknownKeys returns a problem for each key without a matching field. Line numbers are correct because the
// standardised text has the same lines as the original.
func unknownKeys(path string, text []byte, t reflect.Type, prefix string) Problems {
	var object map[string]json.RawMessage
	if json.Unmarshal(text, &object) != nil {
		return nil // The decoder reports the error.
	}
	fields := map[string]reflect.StructField{}
	for field := range t.Fields() {
		fields[field.Tag.Get("json")] = field
	}
	var problems Problems
	for key, value := range object {
		field, known := fields[key]
		switch {
		case !known:
			problems = append(problems, fmt.Sprintf("%s:%d: %s%s: unknown key", path, lineOf(text, key), prefix, key))
		case field.Type.Kind() == reflect.Struct:
			problems = append(problems, unknownKeys(path, value, field.Type, prefix+key+".")...)
		}
	}
	return problems
}

func lineOf(text []byte, key string) int {
	before, _, _ := bytes.Cut(text, []byte(`"`+key+`"`))
	return 1 + bytes.Count(before, []byte("\n"))
}

// check applies the rules of the validate tags and the rules that involve several fields.
func check(path string, s *Settings) Problems {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	_ = v.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	var problems Problems
	var invalid validator.ValidationErrors
	if errors.As(v.Struct(s), &invalid) {
		for _, field := range invalid {
			problems = append(problems, fmt.Sprintf("%s: %s: %s", path, field.Field(), describeViolation(field)))
		}
	}
	if !s.Plaintext {
		for name, file := range map[string]string{"tls.ca": s.TLS.CA, "tls.certificate": s.TLS.Certificate, "tls.key": s.TLS.Key} {
			if file == "" {
				problems = append(problems, fmt.Sprintf("%s: %s: required unless plaintext is true", path, name))
			}
		}
	}
	return problems
}

// describeViolation returns a message for a value that breaks a validation rule.
func describeViolation(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "required"
	case "ipport":
		return fmt.Sprintf("%q is not an IP:port address", field.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", field.Value(), field.Param())
	default:
		return fmt.Sprintf("%v breaks the rule %s=%s", field.Value(), field.Tag(), field.Param())
	}
}

// Describe returns a settings file with every key, its default value and a comment that explains it.
func Describe() string {
	var out strings.Builder
	out.WriteString("{\n")
	describe(&out, reflect.ValueOf(Default()), "  ")
	out.WriteString("}\n")
	return out.String()
}

func describe(out *strings.Builder, value reflect.Value, indent string) {
	for field, fieldValue := range value.Fields() {
		fmt.Fprintf(out, "%s// %s\n", indent, field.Tag.Get("help"))
		if field.Type.Kind() == reflect.Struct {
			fmt.Fprintf(out, "%s%q: {\n", indent, field.Tag.Get("json"))
			describe(out, fieldValue, indent+"  ")
			fmt.Fprintf(out, "%s},\n", indent)
			continue
		}
		encoded, err := json.Marshal(fieldValue.Interface())
		if err != nil {
			continue // Fields are strings, numbers and booleans.
		}
		fmt.Fprintf(out, "%s%q: %s,\n", indent, field.Tag.Get("json"), encoded)
	}
}
