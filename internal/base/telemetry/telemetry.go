// Package telemetry sets up logging and tracing.
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

// flushTimeout bounds the export of the remaining spans when tracing is closed.
const flushTimeout = 2 * time.Second

// NewLog returns a logger that writes one line of key=value pairs per event to out. Callers name the event in the field
// "event". It returns an error if level is unknown.
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

// Tracing exports spans. Close exports the remaining ones. The zero value records nothing.
type Tracing struct {
	provider *sdktrace.TracerProvider
	file     *os.File
}

// NewTracing returns tracing to a JSON file and to an OTLP collector. Either may be empty, which disables it.
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

// Provider returns the tracer provider for libraries. Without an exporter it records nothing.
func (t *Tracing) Provider() trace.TracerProvider {
	if t.provider == nil {
		return noop.NewTracerProvider()
	}
	return t.provider
}

// Tracer returns the tracer for rookpass's own spans.
func (t *Tracing) Tracer() trace.Tracer { return t.Provider().Tracer("rookpass") }

// Close exports the remaining spans and closes the trace file.
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
