package node

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/platform"
)

// settingsPollInterval is the time between two reads of the settings file without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file again on SIGHUP and every settingsPollInterval, until ctx ends. Only the seeds
// and the memory limit take effect without a restart. A file that can't be loaded changes nothing.
func (b *base) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	read := b.settings
	for {
		why := "signal"
		select {
		case <-signals:
		case <-ticker.C:
			why = "look"
		case <-ctx.Done():
			return ctx.Err()
		}
		next, err := b.host.load()
		if err != nil {
			b.log.WithFields(logrus.Fields{"event": "reload", "why": why, "outcome": "refused", "error": err}).Warn("settings file refused; keeping the previous settings")
			continue
		}
		changed := !reflect.DeepEqual(next, read)
		read = next
		b.applySettings(next)
		if changed || why == "signal" {
			b.log.WithFields(logrus.Fields{"event": "reload", "why": why, "outcome": "read", "changed": changed}).Info("settings file read")
		}
	}
}

// applySettings applies the settings that may change without a restart.
func (b *base) applySettings(s platform.Settings) {
	b.seeds.Store(&s.Seeds)
	debug.SetGCPercent(gcPercent)
	b.host.limitMemory(int64(memoryLimitShare * float64(s.MemoryBytes)))
}
