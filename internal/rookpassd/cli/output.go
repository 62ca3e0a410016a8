package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// message prints a protobuf message as JSON.
func (a *app) message(m proto.Message) error {
	encoded, err := protojson.MarshalOptions{Multiline: true, Indent: "  ", UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(encoded))
	return err
}

// value prints v as JSON.
func (a *app) value(v any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table prints rows under a heading in aligned columns.
func (a *app) table(heading []string, rows [][]string) error {
	writer := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(writer, strings.Join(heading, "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// printf prints formatted text to the command's output.
func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.out, format, args...)
	return err
}
