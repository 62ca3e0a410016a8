package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
	"github.com/rookpass/rookpass/internal/rookpassd/holds"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/lease"
	"github.com/rookpass/rookpass/internal/rookpassd/membership"
	"github.com/rookpass/rookpass/internal/rookpassd/ownership"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
	"github.com/rookpass/rookpass/internal/rookpassd/route"
	"github.com/rookpass/rookpass/internal/rookpassd/spending"
)

// errIncarnationEnded means that another daemon sealed this incarnation's log. The daemon starts a new incarnation.
var errIncarnationEnded = errors.New("incarnation has ended")

// incarnation holds the components that end when the daemon's log is sealed: the log, the lease and the partitions.
type incarnation struct {
	name      string
	daemon    *Daemon
	journal   *journal.Writer
	holder    *holder.Holder
	lease     *lease.Keeper
	ownership *ownership.Controller
	trimmer   *ownership.Trimmer
	prober    *membership.Prober
	holds     *holds.Controller
	router    *route.Router
	spending  *spending.Ledger
	// end stops all components of the incarnation.
	end context.CancelCauseFunc
	// lifetime is canceled when the incarnation ends.
	lifetime context.Context
}

func (d *Daemon) newIncarnation(ctx context.Context) *incarnation {
	s := d.settings
	in := &incarnation{
		name:   fmt.Sprintf("%s.%x-%08x", s.Name, time.Now().UnixMilli(), d.random.Uint32()),
		daemon: d,
	}
	in.lifetime, in.end = context.WithCancelCause(ctx)
	options := journal.DefaultOptions()
	options.MaxPendingBytes = s.MaxPendingBytes
	in.journal = journal.NewWriter(d.api, in.name, d.limiter, options)
	in.spending = spending.New(spending.Options{
		API: d.api, Limiter: d.limiter, Incarnation: in.name,
		Budget: func(organisation string) int64 { return d.config.View().Organisations[organisation].GetBudgetTokens() },
		Ended:  func(incarnation string) bool { return d.tracker.View().IncarnationEnded(incarnation) },
	})
	in.holder = holder.New(in.lifetime, holder.Dependencies{
		Journal:     in.journal,
		Config:      d.config,
		Runner:      d.runner,
		Spending:    in.spending,
		Tracer:      d.tracer,
		Log:         d.log,
		Reporter:    in,
		Partitions:  s.Partitions,
		Incarnation: in.name,
	})
	in.lease = lease.New(d.api, d.limiter, &peerv1.Daemon{
		Name:           s.Name,
		Incarnation:    in.name,
		DataCentre:     s.DataCentre,
		PeerAddress:    s.PeerAddress,
		ForwardAddress: s.ForwardAddress,
		TtlMs:          s.LeaseTTLMillis,
	}, in.journal.Position)
	in.ownership = ownership.New(ownership.Dependencies{
		Name:               s.Name,
		Incarnation:        in.name,
		API:                d.api,
		Limiter:            d.limiter,
		Tracker:            d.tracker,
		Holder:             in.holder,
		Journal:            in.journal,
		Peers:              d.peers,
		Log:                d.log,
		Retention:          time.Duration(s.RetentionMillis) * time.Millisecond,
		CheckpointSegments: s.CheckpointSegments,
	})
	in.trimmer = ownership.NewTrimmer(in.ownership, in.lease.Published)
	in.prober = membership.New(in.name, d.tracker, d.config, d.peers, membership.DefaultOptions(),
		rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64())))
	in.holds = holds.New(holds.Options{
		Incarnation: in.name, Partitions: s.Partitions, Tracker: d.tracker,
		Programs: in.holder, Engines: d.runner, Peers: d.peers, Log: d.log,
	})
	in.router = route.New(route.Options{
		Incarnation: in.name, Partitions: s.Partitions, Tracker: d.tracker,
		Local: in.holder, Forwarder: d.forwarder, Tracer: d.tracer,
	})
	return in
}

// trimInterval and trimLimit limit the rate at which old log segments are removed.
const (
	trimInterval = time.Second
	trimLimit    = 8
)

// run runs the incarnation's components. It returns errIncarnationEnded if the log was sealed, and the cancellation
// cause if the daemon stops.
func (in *incarnation) run() error {
	group, ctx := errgroup.WithContext(in.lifetime)
	sealed := func(err error) error {
		if errors.Is(err, journal.ErrSealed) || errors.Is(err, lease.ErrSealed) {
			return errIncarnationEnded
		}
		return err
	}
	group.Go(func() error { return sealed(in.journal.Run(ctx)) })
	group.Go(func() error { return sealed(in.lease.Run(ctx)) })
	group.Go(func() error { return in.ownership.Run(ctx) })
	group.Go(func() error { return in.prober.Run(ctx) })
	group.Go(func() error { return in.holds.Run(ctx) })
	group.Go(func() error { return in.spending.Run(ctx) })
	group.Go(func() error { return in.trim(ctx) })
	err := group.Wait()
	in.end(err)
	if errors.Is(err, errIncarnationEnded) {
		return errIncarnationEnded
	}
	return context.Cause(in.lifetime)
}

func (in *incarnation) trim(ctx context.Context) error {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// Segments that could not be removed are retried at the next tick.
			_ = in.trimmer.Trim(ctx, trimLimit)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Timeouts and retry delay of a report to a partition's new owner.
const (
	reportTimeout      = 2 * time.Second
	reportRetryDelay   = 50 * time.Millisecond
	reportRetryTimeout = 30 * time.Second
)

// Report implements holder.Reporter: it sends the outcome to the partition's current owner and retries until the owner
// accepts it or answers verdict.Lost, for up to reportRetryTimeout.
func (in *incarnation) Report(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error) {
	number := program.PartitionOf(programID, in.daemon.settings.Partitions)
	deadline := time.Now().Add(reportRetryTimeout)
	for {
		final, err := in.reportOnce(ctx, number, programID, executor, outcome)
		if err == nil || verdict.IsCode(err, verdict.Lost) {
			return final, err
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, err
		}
		_ = wait.For(ctx, reportRetryDelay)
	}
}

func (in *incarnation) reportOnce(ctx context.Context, number uint32, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error) {
	owner, found := in.daemon.tracker.View().Owner(number)
	if !found {
		return nil, verdict.Unknown(verdict.NotOwner, reportRetryDelay, "partition %d has no owner", number)
	}
	if owner.Incarnation == in.name {
		return in.holder.AcceptReport(ctx, programID, executor, outcome)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	final, err := in.daemon.peers.Report(ctx, owner.PeerAddress, programID, executor, outcome)
	if err != nil && !verdict.IsCode(err, verdict.Lost) && !verdict.IsCode(err, verdict.NotOwner) {
		return nil, verdict.Unknown(verdict.Unavailable, reportRetryDelay, "report: %v", err)
	}
	return final, err
}
