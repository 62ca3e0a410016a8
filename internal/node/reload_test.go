package node

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/platform"
	"github.com/rookpass/rookpass/platform/platformtest"
)

// logLines collects log lines and signals each write.
type logLines struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	select {
	case l.written <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestReloadOnSignal checks that a valid file takes effect and that a malformed one changes nothing.
func TestReloadOnSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	process := platformtest.Settings{Node: "front-1", Class: "front", IP: "127.0.0.1", DataCentre: "a", StoreAddress: "127.0.0.1:1",
		Seeds: []string{"127.0.0.1:2"}, GraceSeconds: 8}
	assert.NilError(t, platformtest.WriteSettings(path, process))
	t.Setenv(platformtest.EnvSettings, path)
	settings, err := platform.LoadSettings()
	assert.NilError(t, err)
	out := &logLines{written: make(chan struct{}, 1)}
	log := logrus.New()
	log.SetOutput(out)
	b := &base{host: localHost(), settings: settings, log: log}
	b.applySettings(settings)
	signals := make(chan os.Signal, 1) // an unhandled signal would end the test
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- b.watchSettings(ctx) }()

	process.Seeds = []string{"127.0.0.1:3"}
	assert.NilError(t, platformtest.WriteSettings(path, process))
	signalReload(t, ctx, out, "read")
	assert.DeepEqual(t, *b.seeds.Load(), []string{"127.0.0.1:3"})
	assert.NilError(t, os.WriteFile(path, []byte("node_name = "), 0o644))
	signalReload(t, ctx, out, "refused")
	assert.DeepEqual(t, *b.seeds.Load(), []string{"127.0.0.1:3"})
	cancel()
	<-ended
}

// signalReload sends this process SIGHUP until a line shows the outcome: the daemon may not listen for it yet.
func signalReload(t *testing.T, ctx context.Context, out *logLines, outcome string) {
	t.Helper()
	for !strings.Contains(out.String(), "outcome="+outcome) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case <-out.written:
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal("no reload")
		}
	}
}
