package workload

import (
	"fmt"
	"time"

	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/platform/platformtest"
)

// Organisations returns the organisations of callers. Their rate limits exceed the request rate of a run, so that no
// request is rejected.
func Organisations() []platformtest.Organisation {
	var all []platformtest.Organisation
	for _, name := range []string{"north", "south"} {
		all = append(all, OrganisationOf(name, 2000))
	}
	return all
}

// OrganisationOf returns an organisation with a rate limit in requests per second and a burst of the same number.
func OrganisationOf(name string, perSecond float64) platformtest.Organisation {
	return platformtest.Organisation{Name: name, Keys: []string{keyOf(name)}, PerS: perSecond, Burst: perSecond}
}

// keyPrefix is the prefix of all keys, by which containsKey detects them.
const keyPrefix = "key-of-"

func keyOf(organisation string) string { return keyPrefix + organisation }

// Config returns a configuration version: the routes that callers use, and one route for each version up to this one.
func Config(version int64) catalog.Config {
	route := func(name string, kind catalog.Kind, service string) catalog.Route {
		return catalog.Route{Name: name, Host: requestHost, Prefix: "/" + name + "/", Kind: kind, Timeout: callDeadline, MaxAttempts: 3,
			Targets: []catalog.Target{{Service: service, Weight: 1}}}
	}
	c := catalog.Config{Version: version, Limits: catalog.Limits{MaxBodyBytes: 1 << 20, IdleTimeout: 15 * time.Second}}
	c.RequireKeys = true
	c.Services = []catalog.Service{{Name: modelService, MaxConns: 200, TokensPerEvent: tokensPerEvent}, {Name: toolService, MaxConns: 200}}
	c.Routes = []catalog.Route{route("turn", catalog.Stream, modelService), route("tool", catalog.AtMostOnce, toolService), route("lookup", catalog.Idempotent, toolService),
		route("question", catalog.Stream, modelService)}
	c.Routes[0].RetainTurns, c.Routes[0].Retention = true, time.Minute
	c.Routes[3].Resumable = true
	for v := int64(1); v <= version; v++ {
		c.Routes = append(c.Routes, route(fmt.Sprint("new", v), catalog.Idempotent, toolService))
	}
	return c
}
