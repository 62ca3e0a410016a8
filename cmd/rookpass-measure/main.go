// Command rookpass-measure measures the overhead of rookpass per call. It runs two daemons, a model engine and an object
// API without artificial delays in one process over loopback, and compares calls through the daemons with direct calls
// to the engine. Blocks of calls of each variant alternate within a run.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/auth"
	"github.com/rookpass/rookpass/internal/rookpassd/backend"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/daemon"
	"github.com/rookpass/rookpass/internal/rookpassd/settings"
	"github.com/rookpass/rookpass/internal/testing/standin"
	"github.com/rookpass/rookpass/internal/transport/network"
)

type options struct {
	Calls    int `long:"calls" default:"3000" description:"calls for each variant"`
	Programs int `long:"programs" default:"20000" description:"idle programs for the memory measurement"`
	Port     int `long:"port" default:"7800" description:"first of 20 loopback ports"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// bench holds two daemons, their clients and the engine that both use.
type bench struct {
	options
	secret  string
	daemons []*daemon.Daemon
	clients []*client.Client
	engine  *backend.Engine
}

const organisation = "bench"

func (o options) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", o.Port+offset) }

func run(o options) error {
	b := &bench{options: o}
	store := memapi.New()
	engine := standin.NewEngine(standin.EngineOptions{AnswerTokens: 1})
	for offset, handler := range []fasthttp.RequestHandler{standin.ObjectAPI(store), engine.Handler()} {
		server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
		go func() { _ = server.ListenAndServe(o.address(offset)) }()
	}
	if err := b.configure(store); err != nil {
		return err
	}
	for i := range 2 {
		if err := b.startDaemon(i); err != nil {
			return err
		}
	}
	b.engine = backend.NewEngine(o.address(1), network.TCP{}.DialServer, time.Minute)
	if err := b.awaitReady(); err != nil {
		return err
	}
	if err := b.measureLatency(); err != nil {
		return err
	}
	return b.measureMemory()
}

func (b *bench) configure(store objectapi.API) error {
	secret, hash := auth.NewSecret()
	b.secret = secret
	for _, object := range []*rookpassv1.Object{
		{Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_ORGANISATION, Name: organisation},
			Spec: &rookpassv1.Object_Organisation{Organisation: &rookpassv1.Organisation{
				SecretHashes: []string{hash}, Definitions: []string{"agent"}, MaxCalls: 1000}}},
		{Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_DEFINITION, Name: "agent"},
			Spec: &rookpassv1.Object_Definition{Definition: &rookpassv1.Definition{
				BudgetTokens: 1 << 40, MaxTurns: 1 << 30, MaxRepeats: 1 << 30, Models: []string{"m"}, DefaultMaxTokens: 1}}},
		{Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_BACKEND_SERVER, Name: "engine"},
			Spec: &rookpassv1.Object_BackendServer{BackendServer: &rookpassv1.BackendServer{
				Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Address: b.address(1), Serves: []string{"m"}, MaxConcurrency: 1000}}},
	} {
		key, _ := config.Key(object.Key)
		value, err := protojson.Marshal(object)
		if err != nil {
			return err
		}
		if _, err := store.Put(context.Background(), key, value, objectapi.MustNotExist); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) startDaemon(i int) error {
	s := settings.Default()
	s.Name, s.DataCentre, s.Plaintext = fmt.Sprintf("d%d", i), "dc", true
	s.CallerAddress, s.HTTPAddress = b.address(2+4*i), b.address(3+4*i)
	s.PeerAddress, s.ForwardAddress = b.address(4+4*i), b.address(5+4*i)
	s.ObjectAPIAddress, s.WritesPerSecond = b.address(0), 100000
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(s, network.TCP{}, log, &telemetry.Tracing{}, rand.New(rand.NewPCG(uint64(i), 1)))
	if err != nil {
		return err
	}
	go func() { _ = d.Run(context.Background()) }()
	c, err := client.New(client.Options{Address: s.CallerAddress, Name: organisation, Secret: b.secret})
	b.daemons, b.clients = append(b.daemons, d), append(b.clients, c)
	return err
}

func (b *bench) awaitReady() error {
	for range 300 {
		if b.daemons[0].Ready() == nil && b.daemons[1].Ready() == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("daemons not ready within 30 s: %v, %v", b.daemons[0].Ready(), b.daemons[1].Ready())
}

// startProgram starts a program that the daemon with the given index owns. It tries new keys until one maps there.
func (b *bench) startProgram(owner int, key string) (string, error) {
	for i := 0; ; i++ {
		ctx := b.clients[0].Context(context.Background())
		request := &rookpassv1.StartProgramRequest{Definition: "agent", IdempotencyKey: fmt.Sprintf("%s-%d", key, i)}
		program, err := b.clients[0].Caller.StartProgram(ctx, request)
		if err != nil {
			return "", err
		}
		if b.daemons[owner].Holds(program.Id) {
			return program.Id, nil
		}
	}
}

func modelCall(program string, sequence uint64) *rookpassv1.CallRequest {
	return &rookpassv1.CallRequest{ProgramId: program, Sequence: sequence, RequestId: fmt.Sprint(sequence),
		Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Target: "m", Input: []byte("hi"), MaxTokens: 1}
}

// callsPerProgram limits the length of histories, so that prompt sizes do not affect the results.
const callsPerProgram = 20

// measureLatency measures direct calls to the engine, calls through the program's owner and calls through another
// daemon, in alternating blocks, and prints a table.
func (b *bench) measureLatency() error {
	variants := []*variant{
		{name: "direct call to the engine", call: b.direct},
		{name: "through the owner", path: &daemonPath{key: "own"}},
		{name: "one forwarding hop", path: &daemonPath{owner: 1, key: "hop"}},
		{name: "one forwarding hop, without waiting for the journal", path: &daemonPath{owner: 1, key: "loose"}, skipDurability: true},
	}
	for block := range b.Calls / callsPerProgram {
		for _, v := range variants {
			if err := b.runBlock(v, block); err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
		}
	}
	base := variants[0]
	fmt.Println("| variant | p50 | p99 | added p50 | added p99 | CPU per call | allocations per call |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, v := range variants {
		p50, p99 := v.percentile(50), v.percentile(99)
		fmt.Printf("| %s | %v | %v | %v | %v | %v | %d |\n", v.name, p50, p99, p50-base.percentile(50), p99-base.percentile(99),
			(v.cpu / time.Duration(b.Calls)).Round(time.Microsecond), v.mallocs/uint64(b.Calls))
	}
	fmt.Println("\nCPU and allocations are those of the whole process during the calls: caller, daemons, engine and object API.")
	return nil
}

// daemonPath is a path through the daemons. Calls enter at daemon 0; owner is the index of the program's owner.
type daemonPath struct {
	owner   int
	key     string
	program string
}

// variant is one way to make a call, with its measurements.
type variant struct {
	name string
	// call makes one direct call. It is nil if path is set.
	call func(i int) error
	path *daemonPath
	// skipDurability answers before the records are durable, which shows the journal's share of the latency.
	skipDurability bool
	times          *hdrhistogram.Histogram
	cpu            time.Duration
	mallocs        uint64
}

// runBlock makes callsPerProgram calls of one variant. Starting the program is not measured.
func (b *bench) runBlock(v *variant, block int) error {
	if v.times == nil {
		v.times = hdrhistogram.New(1000, maxDuration, 3)
	}
	if t := v.path; t != nil {
		program, err := b.startProgram(t.owner, fmt.Sprintf("%s-%d", t.key, block))
		if err != nil {
			return err
		}
		t.program = program
	}
	if v.skipDurability {
		defer guard.Disable(guard.DurableAnswers)()
	}
	mallocs, cpu := mallocCount(), cpuTime()
	for i := range callsPerProgram {
		began := time.Now()
		if err := b.callOnce(v, block*callsPerProgram+i, uint64(i+1)); err != nil {
			return err
		}
		if err := v.times.RecordValue(int64(time.Since(began))); err != nil {
			return err
		}
	}
	v.cpu += cpuTime() - cpu
	v.mallocs += mallocCount() - mallocs
	return nil
}

func (b *bench) callOnce(v *variant, i int, sequence uint64) error {
	if v.path == nil {
		return v.call(i)
	}
	_, err := b.clients[0].Call(context.Background(), modelCall(v.path.program, sequence), nil)
	return err
}

// maxDuration is the largest value that the histograms record, in nanoseconds.
const maxDuration = int64(10 * time.Second)

func (v *variant) percentile(percentile float64) time.Duration {
	return time.Duration(v.times.ValueAtPercentile(percentile)).Round(time.Microsecond)
}

func (b *bench) direct(i int) error {
	completion := backend.CompletionRequest{Model: "m", Prompt: "hi", MaxTokens: 1, RequestID: fmt.Sprintf("direct-%d", i)}
	_, err := b.engine.Complete(context.Background(), completion, func([]byte) {})
	return err
}

// measureMemory measures and prints the heap size per idle program.
func (b *bench) measureMemory() error {
	before := heapBytes()
	for i := range b.Programs {
		ctx := b.clients[0].Context(context.Background())
		request := &rookpassv1.StartProgramRequest{Definition: "agent", IdempotencyKey: fmt.Sprintf("idle-%d", i)}
		if _, err := b.clients[0].Caller.StartProgram(ctx, request); err != nil {
			return err
		}
	}
	fmt.Printf("\n| memory per idle program, with its journal records in the object API of this process | %d bytes |\n",
		(heapBytes()-before)/int64(b.Programs))
	return nil
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func mallocCount() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
