// Command rookpass is the command-line client for operators and callers.
package main

import (
	"os"

	"github.com/rookpass/rookpass/internal/rookpassd/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
