package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/metrics"
)

type statusCmd struct {
	At   string `required:"" placeholder:"HOST:PORT" help:"The node's metrics.listen address."`
	JSON bool   `name:"json" help:"Print JSON instead of a table."`
}

// overviewMost bounds what is read of an answer.
const overviewMost = 1 << 20

func (c *statusCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.At+controller.PathStatus, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var o metrics.Overview
	if err := json.NewDecoder(io.LimitReader(resp.Body, overviewMost)).Decode(&o); err != nil {
		return fmt.Errorf("status %d, unreadable answer: %w", resp.StatusCode, err)
	}
	if c.JSON {
		return printJSON(os.Stdout, o)
	}
	return o.Print(os.Stdout)
}
