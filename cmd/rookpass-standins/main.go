// Command rookpass-standins serves simple stand-ins for the external systems, for development: object API, VM list,
// model engines, tool services, plain services and weight store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"

	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/testing/standin"
)

type options struct {
	ObjectAPI    string        `long:"object-api" description:"IP:port of the object API"`
	VMList       string        `long:"vm-list" description:"IP:port of the VM list"`
	Engines      []string      `long:"engine" description:"IP:port of a model engine; may be repeated"`
	Services     []string      `long:"service" description:"IP:port of a tool or plain service; may be repeated"`
	WeightStore  string        `long:"weight-store" description:"IP:port of the weight store"`
	FirstToken   time.Duration `long:"first-token" default:"20ms" description:"delay of engines before the first token"`
	NextToken    time.Duration `long:"next-token" default:"5ms" description:"delay of engines between tokens"`
	AnswerTokens int64         `long:"answer-tokens" default:"16" description:"length of the answers of engines, in tokens"`
	Concurrency  int           `long:"concurrency" default:"256" description:"maximum number of concurrent calls of an engine"`
	ServiceDelay time.Duration `long:"service-delay" default:"5ms" description:"duration of a request to a service"`
}

const weightBytesPerSecond = 1 << 20

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	failed := make(chan error, 1)
	for address, handler := range o.handlers() {
		server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Concurrency: 1 << 16}
		go func() { failed <- fmt.Errorf("%s: %w", address, server.ListenAndServe(address)) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	case <-stop:
	}
}

// handlers returns the handlers to serve, by address.
func (o options) handlers() map[string]fasthttp.RequestHandler {
	handlers := map[string]fasthttp.RequestHandler{}
	if o.ObjectAPI != "" {
		handlers[o.ObjectAPI] = standin.ObjectAPI(memapi.New())
	}
	if o.VMList != "" {
		handlers[o.VMList] = new(standin.VMList).Handler()
	}
	if o.WeightStore != "" {
		handlers[o.WeightStore] = standin.NewWeightStore(weightBytesPerSecond).Handler()
	}
	for _, address := range o.Engines {
		handlers[address] = standin.NewEngine(standin.EngineOptions{
			MaxConcurrency: o.Concurrency,
			FirstToken:     o.FirstToken,
			NextToken:      o.NextToken,
			AnswerTokens:   o.AnswerTokens,
			ChecksFencing:  true,
		}).Handler()
	}
	for _, address := range o.Services {
		handlers[address] = (&standin.Service{Delay: o.ServiceDelay}).Handler()
	}
	return handlers
}
