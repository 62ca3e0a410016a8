// Command rookpassd runs the rookpass daemon.
package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/base/tlsfiles"
	"github.com/rookpass/rookpass/internal/rookpassd/daemon"
	"github.com/rookpass/rookpass/internal/rookpassd/settings"
	"github.com/rookpass/rookpass/internal/transport/network"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

type options struct {
	Settings      string `short:"s" long:"settings" description:"settings file (JSON with comments)"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
	PrintSettings bool   `long:"print-settings" description:"print every setting with its default and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitBadInput)
	}
	if o.PrintSettings {
		fmt.Print(settings.Describe())
		return
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadInput)
	}
	if o.CheckSettings {
		fmt.Println("settings are valid")
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(s settings.Settings) error {
	log, err := telemetry.NewLog(os.Stderr, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	tracing, err := telemetry.NewTracing(context.Background(), s.TraceFile, s.OTLPAddress, s.Name, s.DataCentre)
	if err != nil {
		return err
	}
	var net network.TCP
	if !s.Plaintext {
		if net.Files, err = tlsfiles.New(s.TLS.CA, s.TLS.Certificate, s.TLS.Key); err != nil {
			return err
		}
	}
	d, err := daemon.New(s, net, log, tracing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return err
	}
	expvar.Publish("rookpass", d.Metrics())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		d.Drain()
	}()
	return errors.Join(d.Run(context.Background()), tracing.Close())
}
