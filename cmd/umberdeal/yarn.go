// The commands "yarn apps", "yarn containers" and "yarn queues".

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/umberdeal/umberdeal/yarn"
)

type yarnCmd struct {
	Apps       yarnAppsCmd       `cmd:"" help:"List applications."`
	Containers yarnContainersCmd `cmd:"" help:"List an application's containers."`
	Queues     yarnQueuesCmd     `cmd:"" help:"List queues."`
}

type yarnFlags struct {
	At   string `required:"" placeholder:"HOST:PORT" help:"The node's REST address (rest in its YARN settings)."`
	JSON bool   `name:"json" help:"Print JSON instead of a table."`
}

// get requests path from the node's REST interface and prints the answer. With --json it prints the whole
// answer as JSON. Otherwise it prints a table of the given columns. rows is the dotted path of the list of
// rows within the answer.
func (f *yarnFlags) get(path, rows string, columns ...string) error {
	var answer map[string]any
	status, err := getJSON(f.At, path, &answer)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		_ = printJSON(os.Stderr, answer) // the error returned below matters more
		return fmt.Errorf("status %d %s", status, http.StatusText(status))
	}
	if f.JSON {
		return printJSON(os.Stdout, answer)
	}
	var value any = answer
	for _, field := range strings.Split(rows, ".") {
		object, _ := value.(map[string]any)
		value = object[field]
	}
	list, _ := value.([]any)
	return table(os.Stdout, list, columns)
}

// table prints the given columns of a list of objects.
func table(out io.Writer, list []any, columns []string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range list {
		m, _ := row.(map[string]any)
		var cells []string
		for _, c := range columns {
			cells = append(cells, fmt.Sprint(m[c]))
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

type yarnAppsCmd struct {
	yarnFlags
	States string `placeholder:"LIST" help:"Only those in these states."`
}

func (c *yarnAppsCmd) Run() error {
	path := yarn.PathREST + "/apps"
	if c.States != "" {
		path += "?states=" + c.States
	}
	return c.get(path, "apps.app", "id", "state", "finalStatus", "queue", "user", "name", "runningContainers", "diagnostics")
}

type yarnContainersCmd struct {
	yarnFlags
	App string `arg:"" help:"The application's id."`
}

func (c *yarnContainersCmd) Run() error {
	return c.get(yarn.PathREST+"/apps/"+c.App+"/containers", "containers.container", "id", "state", "node", "exitStatus", "priority", "task")
}

type yarnQueuesCmd struct{ yarnFlags }

func (c *yarnQueuesCmd) Run() error {
	return c.get(yarn.PathREST+"/scheduler", "scheduler.schedulerInfo.queues.queue", "queueName", "queuePath", "team", "state", "numApplications", "numContainers")
}
