package daemon

import (
	"expvar"
)

// Metrics returns the daemon's counters and gauges; docs/OPERATIONS.md describes them.
func (d *Daemon) Metrics() expvar.Var {
	return expvar.Func(func() any {
		in := d.current.Load()
		calls, backends, owners := in.holder.Stats(), d.runner.Stats(), in.ownership.Stats()
		return map[string]any{
			"incarnation":             in.name,
			"incarnations":            d.incarnations.Load(),
			"partitions":              d.ownedPartitions(in),
			"calls":                   calls.Calls.Load(),
			"calls_in_flight":         calls.InFlight.Load(),
			"calls_replayed":          calls.Replays.Load(),
			"calls_refused":           calls.Refusals.Load(),
			"calls_unsettled":         calls.Unsettled.Load(),
			"backend_model_calls":     backends.ModelCalls.Load(),
			"backend_service_calls":   backends.ServiceCalls.Load(),
			"backend_broken":          backends.Failures.Load(),
			"backend_refused":         backends.Refusals.Load(),
			"journal_segments":        in.journal.Segments(),
			"journal_pending_bytes":   in.journal.PendingBytes(),
			"journal_stalled":         in.journal.Stalled(),
			"objectapi_reads":         d.objects.Stats().Reads.Load(),
			"objectapi_writes":        d.objects.Stats().Writes.Load(),
			"objectapi_watches":       d.objects.Stats().Watches.Load(),
			"objectapi_relayed":       d.api.RelayedRequests(),
			"config_as_of":            d.config.AsOf(),
			"peer_probes":             in.prober.Probes(),
			"peer_suspects":           in.prober.Suspects(),
			"partition_claims":        owners.Claims.Load(),
			"partition_handovers":     owners.HandOvers.Load(),
			"partition_checkpoints":   owners.Checkpoints.Load(),
			"logs_sealed":             owners.Seals.Load(),
			"holds_released":          in.holds.Released(),
			"holds_orphans_released":  in.holds.Orphans(),
			"organisations_in_flight": d.limits.Organisations(),
			"connections_open":        d.clients.open.Load(),
			"accept_errors":           d.clients.acceptErrors.Load(),
			"http_refused":            d.clients.httpRefused.Load(),
		}
	})
}

func (d *Daemon) ownedPartitions(in *incarnation) int {
	count := 0
	for number := range d.settings.Partitions {
		if _, owned := in.holder.Owns(number); owned {
			count++
		}
	}
	return count
}
