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

func TestREST(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, w *fake.Cluster, _ *testClient) {
		status, body := restCall(t, w, http.MethodPost, yarn.PathREST+"/apps/new-application", "")
		var fresh struct {
			ID string `json:"application-id"`
		}
		if json.Unmarshal(body, &fresh) != nil || status != http.StatusOK || fresh.ID == "" {
			t.Fatalf("new application: %d %s", status, body)
		}
		sub := fmt.Sprintf(`{"application-id":%q,"application-name":"overlay","queue":"core","unmanaged-AM":true,"application-type":"TEST"}`, fresh.ID)
		if status, body := restCall(t, w, http.MethodPost, yarn.PathREST+"/apps?user.name=ann", sub); status != http.StatusAccepted {
			t.Fatalf("submission: %d %s", status, body)
		}
		for path, want := range map[string]string{
			"/info": `"state":"STARTED"`, "/metrics": `"activeNodes":3`, "/scheduler": `"queueName":"core"`, "/nodes": `"rack":"/a"`,
			"/apps?states=accepted&user=ann": fresh.ID, "/apps?states=FINISHED": `"app":[]`, "/apps/" + fresh.ID: `"name":"overlay"`,
			"/apps/" + fresh.ID + "/state": `"ACCEPTED"`,
		} {
			if status, body := restCall(t, w, http.MethodGet, yarn.PathREST+path, ""); status != http.StatusOK || !strings.Contains(string(body), want) {
				t.Errorf("%s: %d %s", path, status, body)
			}
		}
		if status, body := restCall(t, w, http.MethodPut, yarn.PathREST+"/apps/"+fresh.ID+"/state", `{"state":"KILLED"}`); status != http.StatusOK || !strings.Contains(string(body), "KILLED") {
			t.Errorf("kill: %d %s", status, body)
		}
		if status, _ := restCall(t, w, http.MethodGet, yarn.PathREST+"/apps/application_1_0001", ""); status != http.StatusNotFound {
			t.Errorf("an unknown application: %d", status)
		}
		if status, _ := restCall(t, w, http.MethodPost, yarn.PathREST+"/apps", `{"application-id":"application_1_0001"}`); status != http.StatusBadRequest {
			t.Errorf("an id that was not given out: %d", status)
		}
		// Containers' jobs are not visible to native users.
		if got := w.PollState(w.NodeAddr(0), "wk-80000000001000000000"); got != "" {
			t.Errorf("a native poll of a container's job is answered %q", got)
		}
	})
}
