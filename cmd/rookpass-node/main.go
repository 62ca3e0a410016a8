// Command rookpass-node is a daemon of rookpass on the users' platform: front takes requests, store keeps
// turns on a disk.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/node"
	"github.com/rookpass/rookpass/platform"
)

type options struct {
	LogLevel string `long:"log-level" default:"info" description:"least level of the lines written"`
	Args     struct {
		Role string `positional-arg-name:"role" choice:"front" choice:"store" choice:"check" description:"front, store, or check to check the settings only"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2) // the parser has said why
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "rookpass-node:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	// A changed settings file needs no action: addresses and limits hold for a process's life.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch opts.Args.Role {
	case "front":
		return node.RunFront(ctx, settings, opts.LogLevel)
	case "store":
		return node.RunStore(ctx, settings, opts.LogLevel)
	case "check":
		fmt.Printf("%+v\n", settings)
		return nil
	default:
		return fmt.Errorf("unknown role %q: front, store or check", opts.Args.Role)
	}
}
