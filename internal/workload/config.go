package workload

import (
	"fmt"
	"time"

	"github.com/rookpass/rookpass/internal/catalog"
)

// Config returns a version of the configuration: the routes that callers ask for, and one more for each version
// before this one and for itself.
func Config(version int64) catalog.Config {
	route := func(name string, kind catalog.Kind, service string) catalog.Route {
		return catalog.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: callDeadline, MaxAttempts: 3,
			Targets: []catalog.Target{{Service: service, Weight: 1}}}
	}
	c := catalog.Config{Version: version, Limits: catalog.Limits{MaxBodyBytes: 1 << 20, IdleTimeout: 15 * time.Second}}
	c.Services = []catalog.Service{{Name: modelService, MaxConns: 200, TokensPerEvent: tokensPerEvent}, {Name: toolService, MaxConns: 200}}
	c.Routes = []catalog.Route{route("turn", catalog.Stream, modelService), route("tool", catalog.AtMostOnce, toolService), route("lookup", catalog.Idempotent, toolService),
		route("question", catalog.Stream, modelService)}
	c.Routes[0].Kept, c.Routes[0].Retention = true, time.Minute
	c.Routes[3].Resumable = true
	for v := int64(1); v <= version; v++ {
		c.Routes = append(c.Routes, route(fmt.Sprint("new", v), catalog.Idempotent, toolService))
	}
	return c
}
