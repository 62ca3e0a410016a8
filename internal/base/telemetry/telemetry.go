// Package telemetry sets up logs and traces.
package telemetry

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Error is the class of this package's errors.
var Error = errs.Class("telemetry")

// flushTimeout bounds how long a stopping daemon waits for its last spans.
const flushTimeout = 2 * time.Second

// NewLog returns a log that writes one line of key=value pairs for each event. Every line names its event in
// the key "event".
func NewLog(out io.Writer, level, daemon string) (logrus.FieldLogger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano,
	})
	return log.WithField("daemon", daemon), nil
}

// Tracing is where spans go. Close it to write the last ones.
type Tracing struct {
	provider *sdktrace.TracerProvider
	file     *os.File
}

// NewTracing returns tracing to a file of JSON lines and to an OTLP collector; either may be empty.
func NewTracing(ctx context.Context, file, otlpAddress, daemon, dataCentre string) (*Tracing, error) {
	t := &Tracing{}
	var options []sdktrace.TracerProviderOption
	if file != "" {
		out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		t.file = out
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		options = append(options, sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(200*time.Millisecond)))
	}
	if otlpAddress != "" {
		exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(otlpAddress), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, Error.Wrap(err)
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if len(options) == 0 {
		return t, nil
	}
	options = append(options, sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "rookpassd"),
		attribute.String("service.instance.id", daemon),
		attribute.String("cloud.availability_zone", dataCentre))))
	t.provider = sdktrace.NewTracerProvider(options...)
	return t, nil
}

// Provider returns the provider for libraries; without an exporter it records nothing.
func (t *Tracing) Provider() trace.TracerProvider {
	if t.provider == nil {
		return noop.NewTracerProvider()
	}
	return t.provider
}

// Tracer returns the tracer of rookpass's own spans.
func (t *Tracing) Tracer() trace.Tracer { return t.Provider().Tracer("rookpass") }

// Close writes the last spans.
func (t *Tracing) Close() error {
	var group errs.Group
	if t.provider != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		group.Add(t.provider.Shutdown(ctx))
	}
	if t.file != nil {
		group.Add(t.file.Close())
	}
	return Error.Wrap(group.Err())
}
