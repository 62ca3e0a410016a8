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

// lines collects log lines and tells of each.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
	came chan struct{}
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	select {
	case l.came <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestSettingsAreReadAgainOnSignal: a good file takes effect, a wrong one changes nothing.
func TestSettingsAreReadAgainOnSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	process := platformtest.Settings{Node: "front-1", Class: "front", IP: "127.0.0.1", DataCentre: "a", StoreAddress: "127.0.0.1:1",
		Seeds: []string{"127.0.0.1:2"}, GraceSeconds: 8}
	assert.NilError(t, platformtest.WriteSettings(path, process))
	t.Setenv(platformtest.EnvSettings, path)
	settings, err := platform.LoadSettings()
	assert.NilError(t, err)
	out := &lines{came: make(chan struct{}, 1)}
	log := logrus.New()
	log.SetOutput(out)
	b := &base{host: thisVM(), settings: settings, log: log}
	b.apply(settings)
	alive := make(chan os.Signal, 1) // a signal that nobody listens for would end the test
	signal.Notify(alive, syscall.SIGHUP)
	defer signal.Stop(alive)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- b.followSettings(ctx) }()

	process.Seeds = []string{"127.0.0.1:3"}
	assert.NilError(t, platformtest.WriteSettings(path, process))
	reload(t, ctx, out, "read")
	assert.DeepEqual(t, *b.seeds.Load(), []string{"127.0.0.1:3"})
	assert.NilError(t, os.WriteFile(path, []byte("node_name = "), 0o644))
	reload(t, ctx, out, "refused")
	assert.DeepEqual(t, *b.seeds.Load(), []string{"127.0.0.1:3"})
	cancel()
	<-ended
}

// reload sends this process the signal until a line tells the outcome: the daemon may not listen for it yet.
func reload(t *testing.T, ctx context.Context, out *lines, outcome string) {
	t.Helper()
	for !strings.Contains(out.String(), "outcome="+outcome) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case <-out.came:
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal("no reload")
		}
	}
}
