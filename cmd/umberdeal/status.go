// The command "status".

package main

import (
	"os"

	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/metrics"
)

type statusCmd struct {
	At   string `required:"" placeholder:"HOST:PORT" help:"The node's metrics.listen address."`
	JSON bool   `name:"json" help:"Print JSON instead of a table."`
}

func (c *statusCmd) Run() error {
	var o metrics.Overview
	if _, err := getJSON(c.At, controller.PathStatus, &o); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, o)
	}
	return o.Print(os.Stdout)
}
