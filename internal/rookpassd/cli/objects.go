package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
)

var kinds = map[string]rookpassv1.Kind{
	"organisation": rookpassv1.Kind_KIND_ORGANISATION,
	"definition":   rookpassv1.Kind_KIND_DEFINITION,
	"backend":      rookpassv1.Kind_KIND_BACKEND_SERVER,
	"operator":     rookpassv1.Kind_KIND_OPERATOR,
}

func kindOf(name string) (rookpassv1.Kind, error) {
	if kind, known := kinds[name]; known {
		return kind, nil
	}
	return 0, usageErrorf("kind %q is not one of: organisation, definition, backend, operator", name)
}

func kindName(kind rookpassv1.Kind) string {
	for name, known := range kinds {
		if known == kind {
			return name
		}
	}
	return kind.String()
}

func objectName(key *rookpassv1.ObjectKey) string { return kindName(key.Kind) + "/" + key.Name }

// waitOption is the option to wait until a change is in force on every daemon.
type waitOption struct {
	Wait bool `long:"wait" description:"wait until the change is in force on every daemon"`
}

// waitPoll is the interval between polls of the daemons' revisions.
const waitPoll = 100 * time.Millisecond

// await waits until a revision is in force on every daemon, if the option is set.
func (w waitOption) await(ctx context.Context, a *app, c *client.Client, revision uint64) error {
	if !w.Wait {
		return nil
	}
	began := time.Now()
	for {
		response, err := c.Operator.InForce(c.Context(ctx), &rookpassv1.InForceRequest{Revision: revision})
		if err != nil {
			return verdict.FromGRPC(err)
		}
		inForce := 0
		for _, daemon := range response.Daemons {
			if daemon.Reachable && daemon.Revision >= revision {
				inForce++
			}
		}
		if response.Everywhere {
			return a.printf("in force on %d of %d daemons after %v\n", inForce, len(response.Daemons), time.Since(began).Round(time.Millisecond))
		}
		select {
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return fmt.Errorf("in force on %d of %d daemons when the timeout expired", inForce, len(response.Daemons))
		}
	}
}

type applyCommand struct {
	*app  `no-flag:"true"`
	Files []string `short:"f" long:"file" required:"true" description:"file of objects (JSON with comments: one or a list); - for standard input"`
	waitOption
}

// Execute parses all files before it changes anything. An object without a version is created or replaces the current
// version; an object with a version replaces only that version.
func (c *applyCommand) Execute([]string) error {
	var objects []*rookpassv1.Object
	for _, file := range c.Files {
		read, err := readObjects(file)
		if err != nil {
			return err
		}
		objects = append(objects, read...)
	}
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	var revision uint64
	for i, object := range objects {
		applied, err := c.apply(ctx, conn, object)
		if err != nil {
			return fmt.Errorf("%s (%d of %d objects were applied): %w", objectName(object.Key), i, len(objects), err)
		}
		revision = max(revision, applied)
	}
	return c.await(ctx, c.app, conn, revision)
}

// apply puts one object and returns its version.
func (c *applyCommand) apply(ctx context.Context, conn *client.Client, object *rookpassv1.Object) (uint64, error) {
	version := object.Version
	if version == 0 {
		current, err := conn.Operator.Get(conn.Context(ctx), object.Key)
		switch {
		case err == nil && proto.Equal(specOf(current), specOf(object)):
			return current.Version, c.printf("%s unchanged at version %d\n", objectName(object.Key), current.Version)
		case err == nil:
			version = current.Version
		case verdict.FromGRPC(err).Code != verdict.NotFound:
			return 0, verdict.FromGRPC(err)
		}
	}
	written, err := conn.Operator.Put(conn.Context(ctx), &rookpassv1.PutRequest{Object: object, IfVersion: version})
	if err != nil {
		return 0, c.showConflict(ctx, conn, object, version, verdict.FromGRPC(err))
	}
	return written.Version, c.printf("%s at version %d\n", objectName(object.Key), written.Version)
}

// specOf returns an object without its version, for comparison.
func specOf(object *rookpassv1.Object) *rookpassv1.Object {
	return &rookpassv1.Object{Key: object.Key, Spec: object.Spec}
}

// showConflict prints both versions of a conflict. It returns refusal.
func (c *applyCommand) showConflict(ctx context.Context, conn *client.Client, object *rookpassv1.Object, version uint64, refusal *verdict.Error) error {
	if refusal.Code != verdict.Conflict {
		return refusal
	}
	if current, err := conn.Operator.Get(conn.Context(ctx), object.Key); err == nil {
		_ = c.printf("conflict on %s: version %d was edited, but the current version is %d:\n", objectName(object.Key), version, current.Version)
		_ = c.message(current)
		_ = c.printf("yours:\n")
		_ = c.message(object)
	}
	return refusal
}

// readObjects reads an object or a list of objects from a file.
func readObjects(file string) ([]*rookpassv1.Object, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, usageErrorf("%s: %v", file, err)
	}
	items := []json.RawMessage{standard}
	if bytes.HasPrefix(bytes.TrimSpace(standard), []byte("[")) {
		if err := json.Unmarshal(standard, &items); err != nil {
			return nil, usageErrorf("%s: %v", file, err)
		}
	}
	objects := make([]*rookpassv1.Object, len(items))
	for i, item := range items {
		objects[i] = &rookpassv1.Object{}
		if err := protojson.Unmarshal(item, objects[i]); err != nil {
			return nil, usageErrorf("%s: object %d: %v", file, i+1, err)
		}
		if objects[i].Key == nil {
			return nil, usageErrorf("%s: object %d has no key", file, i+1)
		}
	}
	return objects, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// objectArgs holds the arguments that identify an object.
type objectArgs struct {
	Kind string `positional-arg-name:"kind" description:"organisation, definition, backend or operator"`
	Name string `positional-arg-name:"name"`
}

type getCommand struct {
	*app `no-flag:"true"`
	Args objectArgs `positional-args:"true" required:"true"`
}

// Execute prints the object stored in the object API.
func (c *getCommand) Execute([]string) error {
	kind, err := kindOf(c.Args.Kind)
	if err != nil {
		return err
	}
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	object, err := conn.Operator.Get(conn.Context(ctx), &rookpassv1.ObjectKey{Kind: kind, Name: c.Args.Name})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	return c.message(object)
}

type listCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Kind string `positional-arg-name:"kind" description:"organisation, definition, backend or operator"`
	} `positional-args:"true" required:"true"`
}

// Execute lists the objects stored in the object API.
func (c *listCommand) Execute([]string) error {
	kind, err := kindOf(c.Args.Kind)
	if err != nil {
		return err
	}
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	response, err := conn.Operator.List(conn.Context(ctx), &rookpassv1.ListRequest{Kind: kind})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if c.Output == "json" {
		return c.message(response)
	}
	var rows [][]string
	for _, object := range response.Objects {
		rows = append(rows, []string{object.Key.Name, fmt.Sprint(object.Version), summary(object)})
	}
	return c.table([]string{"NAME", "VERSION", "SUMMARY"}, rows)
}

// summary returns a one-line summary of an object.
func summary(object *rookpassv1.Object) string {
	switch spec := object.Spec.(type) {
	case *rookpassv1.Object_Organisation:
		return fmt.Sprintf("definitions %s", strings.Join(spec.Organisation.Definitions, ","))
	case *rookpassv1.Object_Definition:
		return fmt.Sprintf("budget %d, models %s, services %s", spec.Definition.BudgetTokens,
			strings.Join(spec.Definition.Models, ","), strings.Join(spec.Definition.Services, ","))
	case *rookpassv1.Object_BackendServer:
		state := "in service"
		if spec.BackendServer.Draining {
			state = "draining"
		}
		return fmt.Sprintf("%s at %s, %s", strings.Join(spec.BackendServer.Serves, ","), spec.BackendServer.Address, state)
	case *rookpassv1.Object_Operator:
		return spec.Operator.Role.String()
	default:
		return ""
	}
}

type deleteCommand struct {
	*app    `no-flag:"true"`
	Args    objectArgs `positional-args:"true" required:"true"`
	Version uint64     `long:"version" required:"true" description:"the version to delete, as get shows it"`
	waitOption
}

// Execute deletes the object if it is still at the given version.
func (c *deleteCommand) Execute([]string) error {
	kind, err := kindOf(c.Args.Kind)
	if err != nil {
		return err
	}
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	key := &rookpassv1.ObjectKey{Kind: kind, Name: c.Args.Name}
	response, err := conn.Operator.Delete(conn.Context(ctx), &rookpassv1.DeleteRequest{Key: key, IfVersion: c.Version})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if err := c.printf("%s deleted\n", objectName(key)); err != nil {
		return err
	}
	return c.await(ctx, c.app, conn, response.Revision)
}

type drainCommand struct {
	*app `no-flag:"true"`
	Args struct {
		What string `positional-arg-name:"what" description:"daemon or backend"`
		Name string `positional-arg-name:"name"`
	} `positional-args:"true" required:"true"`
	Undo bool `long:"undo" description:"put a draining backend server back in service"`
	waitOption
}

// Execute begins a daemon's planned stop, or marks a backend server as draining (or not, with Undo).
func (c *drainCommand) Execute([]string) error {
	if c.Args.What != "daemon" && c.Args.What != "backend" {
		return usageErrorf("%q is not one of: daemon, backend", c.Args.What)
	}
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	if c.Args.What == "daemon" {
		if _, err := conn.Operator.DrainDaemon(conn.Context(ctx), &rookpassv1.DrainDaemonRequest{Daemon: c.Args.Name}); err != nil {
			return verdict.FromGRPC(err)
		}
		return c.printf("daemon %s is stopping\n", c.Args.Name)
	}
	key := &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_BACKEND_SERVER, Name: c.Args.Name}
	object, err := conn.Operator.Get(conn.Context(ctx), key)
	if err != nil {
		return verdict.FromGRPC(err)
	}
	object.GetBackendServer().Draining = !c.Undo
	written, err := conn.Operator.Put(conn.Context(ctx), &rookpassv1.PutRequest{Object: object, IfVersion: object.Version})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if err := c.printf("%s draining=%t at version %d\n", objectName(key), !c.Undo, written.Version); err != nil {
		return err
	}
	return c.await(ctx, c.app, conn, written.Version)
}

type statusCommand struct {
	*app `no-flag:"true"`
}

// Execute prints the cluster's state as seen by the daemon that answers.
func (c *statusCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	status, err := conn.Operator.Status(conn.Context(ctx), &rookpassv1.StatusRequest{})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if c.Output == "json" {
		return c.message(status)
	}
	owned := map[string]int{}
	for _, partition := range status.Partitions {
		owned[partition.Owner]++
	}
	var rows [][]string
	for _, daemon := range status.Daemons {
		rows = append(rows, []string{daemon.Name, daemon.DataCentre, daemon.PeerAddress, fmt.Sprint(owned[daemon.Name]), fmt.Sprint(daemon.Draining)})
	}
	if err := c.table([]string{"DAEMON", "DATA CENTRE", "PEER ADDRESS", "PARTITIONS", "DRAINING"}, rows); err != nil {
		return err
	}
	if err := c.printf("\n"); err != nil {
		return err
	}
	rows = nil
	for _, server := range status.BackendServers {
		rows = append(rows, []string{server.Name, fmt.Sprint(server.InFlight), fmt.Sprint(server.Draining), fmt.Sprint(server.Ejected)})
	}
	return c.table([]string{"BACKEND SERVER", "IN FLIGHT", "DRAINING", "EJECTED"}, rows)
}
