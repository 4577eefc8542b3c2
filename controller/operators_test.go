package controller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/wire"
)

// getOperatorPath requests a path of a node's server for operators, and returns the body of the
// response.
func getOperatorPath(t *testing.T, w *fake.Cluster, node int, path string) string {
	t.Helper()
	hc := &http.Client{Transport: &http.Transport{DialContext: w.Network.Dial("operator"), DisableKeepAlives: true}}
	resp, err := hc.Get("http://" + w.Nodes()[node] + ":9464" + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// getOverview returns the status that a node shows to operators.
func getOverview(t *testing.T, w *fake.Cluster, node int) (o metrics.Overview) {
	t.Helper()
	if err := json.Unmarshal([]byte(getOperatorPath(t, w, node, controller.PathStatus)), &o); err != nil {
		t.Fatal(err)
	}
	return o
}

// Every node must show the leader's current status. Without a leader a node must show no status,
// since an outdated one would mislead operators.
func TestStatusIsCurrent(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 6, 90 }), job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 20, 8, 90 }))
		time.Sleep(15 * time.Second)
		leader := w.Leader()
		for i := range w.Nodes() {
			o := getOverview(t, w, i)
			status := o.Cluster
			if status == nil || status.Node != w.Nodes()[leader] || !status.LeaseValid || status.Machines["up"] < 4 || status.Tasks["running"] != w.Running() || status.Jobs != 2 {
				t.Fatalf("node %d does not show the leader's current status: %+v, %+v", i, o, status)
			}
			if o.Leader != w.Nodes()[leader] || !o.Ready || status.LeastLeaseLeftSeconds <= 0 {
				t.Errorf("node %d is not ready, or shows another leader or no lease: %+v", i, o)
			}
		}
		text := getOperatorPath(t, w, leader, controller.PathMetrics)
		for _, want := range []string{"umberdeal_placement_to_launch_seconds_count{", "umberdeal_lease_left_seconds_bucket{", "umberdeal_connections_workers", "umberdeal_leading 1"} {
			if !strings.Contains(text, want) {
				t.Errorf("metrics lack %s", want)
			}
		}
		w.Store.SetOutage(true)
		w.KillNode(leader)
		time.Sleep(15 * time.Second)
		o := getOverview(t, w, (leader+1)%3)
		if o.Cluster != nil || o.StoreReachable {
			t.Errorf("without a leader the status is %+v, want none", o.Cluster)
		}
		reported := false
		for _, recent := range o.RecentErrors {
			reported = reported || strings.Contains(recent.Text, "key-value store unreachable")
		}
		if !reported {
			t.Errorf("recent errors are %v, want the unreachable store", o.RecentErrors)
		}
		var b strings.Builder
		if err := o.Print(&b); err != nil || !strings.Contains(b.String(), "no leader has answered") {
			t.Errorf("status is printed as %s (%v), want it to say that no leader has answered", b.String(), err)
		}
		w.Store.SetOutage(false)
	})
}
