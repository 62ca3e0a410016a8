package daemon

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// layoutRetryDelay is the time between attempts to read or write the layout.
const layoutRetryDelay = 500 * time.Millisecond

// checkLayout verifies that all daemons use the same number of partitions. The first daemon of a cluster stores the
// number; a daemon whose settings differ from it fails to start.
func (d *Daemon) checkLayout(ctx context.Context) error {
	own := strconv.FormatUint(uint64(d.settings.Partitions), 10)
	for ctx.Err() == nil {
		object, err := d.api.Get(ctx, keyspace.Layout)
		switch {
		case err == nil && string(object.Value) == own:
			return nil
		case err == nil:
			return Error.New("cluster has %s partitions, but the settings specify %s", object.Value, own)
		case errors.Is(err, objectapi.ErrNotFound):
			_, err = d.api.Put(ctx, keyspace.Layout, []byte(own), objectapi.MustNotExist)
		}
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			continue
		}
		d.log.WithFields(logrus.Fields{"event": "layout.unread", "error": err}).Warn()
		_ = wait.For(ctx, layoutRetryDelay)
	}
	return ctx.Err()
}
