// Command rookpass-node runs a rookpass daemon on the users' platform: a front daemon, which serves requests, or a store
// daemon, which keeps turns on disk. It also checks settings and shows a daemon's status.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/node"
	"github.com/rookpass/rookpass/platform"
)

type options struct {
	LogLevel string `long:"log-level" default:"info" description:"minimum level of log lines"`
	Address  string `long:"address" description:"show: metrics address of the daemon, IP:port"`
	Program  string `long:"program" description:"show: also the turns of this program that a store daemon keeps"`
	// Organisation is empty if callers need no key.
	Organisation string `long:"organisation" description:"show: organisation of the program"`
	Args         struct {
		Verb string `positional-arg-name:"verb" description:"front or store runs a daemon, check validates and prints the settings, show prints the status of a daemon"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "rookpass-node:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	if opts.Args.Verb == "show" {
		return show(os.Stdout, opts.Address, opts.Organisation, opts.Program)
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGHUP) // its default action would end the process before the daemon handles it
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch opts.Args.Verb {
	case "front":
		return node.RunFront(ctx, settings, opts.LogLevel)
	case "store":
		return node.RunStore(ctx, settings, opts.LogLevel)
	case "check":
		fmt.Printf("%+v\n", settings)
		return nil
	default:
		return fmt.Errorf("unknown verb %q: front, store, check or show", opts.Args.Verb)
	}
}

// showTimeout bounds the request for a daemon's status.
const showTimeout = 5 * time.Second

// show prints the status of the daemon at a metrics address as indented JSON.
func show(out io.Writer, address, organisation, program string) error {
	if address == "" {
		return errors.New("show needs --address")
	}
	client := &http.Client{Timeout: showTimeout}
	resp, err := client.Get("http://" + address + node.StatusPath + "?" + url.Values{"organisation": {organisation}, "program": {program}}.Encode())
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: unexpected status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := json.Indent(&page, data, "", "  "); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	_, err = page.WriteTo(out)
	return err
}
