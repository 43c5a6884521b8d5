// Command cranberrybay routes requests to model pipelines and plain services.
package main

import (
	"os"

	"github.com/cranberrybay/cranberrybay/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
