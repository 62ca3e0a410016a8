package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rookpass/rookpass/internal/base/tlsfiles"
	"github.com/rookpass/rookpass/internal/rookpassd/auth"
)

type secretCommand struct {
	*app `no-flag:"true"`
}

// Execute prints a new random secret and its hash for configuration objects and settings.
func (c *secretCommand) Execute([]string) error {
	secret, hash := auth.NewSecret()
	if c.Output == "json" {
		return c.value(map[string]string{"secret": secret, "hash": hash})
	}
	return c.printf("secret %s\nhash   %s\n", secret, hash)
}

type devKeysCommand struct {
	*app      `no-flag:"true"`
	Folder    string   `long:"folder" required:"true" description:"where the files go"`
	Daemons   []string `long:"daemon" required:"true" description:"name of a daemon; may be given again"`
	Addresses []string `long:"ip" default:"127.0.0.1" description:"IP address in the certificates; may be given again"`
}

// Execute creates a certificate authority and a key for each daemon. They are for development only, since the
// authority's private key is not kept.
func (c *devKeysCommand) Execute([]string) error {
	var addresses []net.IP
	for _, text := range c.Addresses {
		address := net.ParseIP(text)
		if address == nil {
			return usageErrorf("%q is not an IP address", text)
		}
		addresses = append(addresses, address)
	}
	if err := tlsfiles.IssueDevelopment(c.Folder, c.Daemons, addresses); err != nil {
		return err
	}
	return c.printf("keys for %s in %s\n", strings.Join(c.Daemons, ", "), c.Folder)
}

type traceCommand struct {
	*app      `no-flag:"true"`
	RequestID string   `long:"request-id" required:"true" description:"request id of the call"`
	Files     []string `short:"f" long:"file" required:"true" description:"trace file of a daemon; may be given again"`
}

// span holds the fields of a span in a trace file that the command uses.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	Resource []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s span) attribute(key string) string {
	for _, a := range s.Attributes {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

func (s span) daemon() string {
	for _, r := range s.Resource {
		if r.Key == "service.instance.id" {
			return fmt.Sprint(r.Value.Value)
		}
	}
	return ""
}

// Execute prints all spans of the traces that contain the request ID.
func (c *traceCommand) Execute([]string) error {
	var spans []span
	for _, file := range c.Files {
		read, err := readSpans(file)
		if err != nil {
			return err
		}
		spans = append(spans, read...)
	}
	traces := map[string]bool{}
	for _, s := range spans {
		if s.attribute("rookpass.request_id") == c.RequestID {
			traces[s.SpanContext.TraceID] = true
		}
	}
	spans = slices.DeleteFunc(spans, func(s span) bool { return !traces[s.SpanContext.TraceID] })
	if len(spans) == 0 {
		return fmt.Errorf("no span has request id %q", c.RequestID)
	}
	slices.SortFunc(spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	return c.showSpans(spans)
}

// showSpans prints spans as an indented list, children below their parents.
func (c *traceCommand) showSpans(spans []span) error {
	children := map[string][]span{}
	known := map[string]bool{}
	for _, s := range spans {
		known[s.SpanContext.SpanID] = true
	}
	for _, s := range spans {
		parent := s.Parent.SpanID
		if !known[parent] {
			parent = ""
		}
		children[parent] = append(children[parent], s)
	}
	var rows [][]string
	var visit func(parent string, depth int)
	visit = func(parent string, depth int) {
		for _, s := range children[parent] {
			rows = append(rows, []string{
				strings.Repeat("  ", depth) + s.Name, s.daemon(),
				s.EndTime.Sub(s.StartTime).Round(time.Microsecond).String(),
				s.attribute("rookpass.backend_server") + s.attribute("rookpass.owner"),
			})
			visit(s.SpanContext.SpanID, depth+1)
		}
	}
	visit("", 0)
	return c.table([]string{"SPAN", "DAEMON", "TOOK", "TO"}, rows)
}

// maxSpanBytes is the maximum length of a line in a trace file.
const maxSpanBytes = 1 << 20

func readSpans(file string) ([]span, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	var spans []span
	lines := bufio.NewScanner(opened)
	lines.Buffer(nil, maxSpanBytes)
	for number := 1; lines.Scan(); number++ {
		var s span
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, usageErrorf("%s:%d: %v", file, number, err)
		}
		spans = append(spans, s)
	}
	return spans, lines.Err()
}
