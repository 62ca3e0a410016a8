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

// settingsPollInterval is the time between two looks at the settings file, which may change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file again on SIGHUP, and now and then, until ctx ends. Seeds and the memory
// limit take effect; addresses, folders and tolerances hold for a process's life. A file that is wrong changes
// nothing.
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
			b.log.WithFields(logrus.Fields{"event": "reload", "why": why, "outcome": "refused", "error": err}).Warn("settings not read; the old ones stay")
			continue
		}
		changed := !reflect.DeepEqual(next, read)
		read = next
		b.applySettings(next)
		if changed || why == "signal" {
			b.log.WithFields(logrus.Fields{"event": "reload", "why": why, "outcome": "read", "changed": changed}).Info("settings read")
		}
	}
}

// applySettings puts in force what may change during a process's life.
func (b *base) applySettings(s platform.Settings) {
	b.seeds.Store(&s.Seeds)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
}
