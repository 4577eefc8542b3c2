package yarn_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/yarn"
)

// The REST interface creates, submits, lists and kills applications and describes the cluster.
func TestREST(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, cluster *fake.Cluster, _ *testClient) {
		status, body := restCall(t, cluster, http.MethodPost, yarn.PathREST+"/apps/new-application", "")
		var created struct {
			ID string `json:"application-id"`
		}
		if json.Unmarshal(body, &created) != nil || status != http.StatusOK || created.ID == "" {
			t.Fatalf("new application: %d %s", status, body)
		}
		submission := fmt.Sprintf(`{"application-id":%q,"application-name":"overlay","queue":"core","unmanaged-AM":true,"application-type":"TEST"}`, created.ID)
		if status, body := restCall(t, cluster, http.MethodPost, yarn.PathREST+"/apps?user.name=ann", submission); status != http.StatusAccepted {
			t.Fatalf("submission: %d %s", status, body)
		}
		for path, want := range map[string]string{
			"/info": `"state":"STARTED"`, "/metrics": `"activeNodes":3`, "/scheduler": `"queueName":"core"`, "/nodes": `"rack":"/a"`,
			"/apps?states=accepted&user=ann": created.ID, "/apps?states=FINISHED": `"app":[]`, "/apps/" + created.ID: `"name":"overlay"`,
			"/apps/" + created.ID + "/state": `"ACCEPTED"`,
		} {
			if status, body := restCall(t, cluster, http.MethodGet, yarn.PathREST+path, ""); status != http.StatusOK || !strings.Contains(string(body), want) {
				t.Errorf("%s: %d %s", path, status, body)
			}
		}
		if status, body := restCall(t, cluster, http.MethodPut, yarn.PathREST+"/apps/"+created.ID+"/state", `{"state":"KILLED"}`); status != http.StatusOK || !strings.Contains(string(body), "KILLED") {
			t.Errorf("kill: %d %s", status, body)
		}
		if status, _ := restCall(t, cluster, http.MethodGet, yarn.PathREST+"/apps/application_1_0001", ""); status != http.StatusNotFound {
			t.Errorf("unknown application: got status %d, want 404", status)
		}
		if status, _ := restCall(t, cluster, http.MethodPost, yarn.PathREST+"/apps", `{"application-id":"application_1_0001"}`); status != http.StatusBadRequest {
			t.Errorf("id that was not issued: got status %d, want 400", status)
		}
		// Containers' jobs are not visible to native users.
		if got := cluster.PollState(cluster.NodeAddr(0), "wk-80000000001000000000"); got != "" {
			t.Errorf("native poll of a container's job: got %q, want no answer", got)
		}
	})
}
