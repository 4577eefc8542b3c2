package yarn

import (
	"encoding/json"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// The encodings of records, keys, ids and tokens must not change. Records outlive the version that
// wrote them, and workers read launch contexts.
func TestRecordEncodingsAreStable(t *testing.T) {
	f := golden.Open(t, "records.golden")
	stored := golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}
	a := golden.CheckEncoding[application](f, "application", stored)
	golden.CheckEncoding[containerRequest](f, "ask", stored)
	golden.CheckEncoding[keyring](f, "keys", stored)
	golden.CheckEncoding[LaunchContext](f, "launch context", stored)
	golden.CheckEncoding[LaunchContext](f, "launch context as JSON", golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal})
	f.Text("key of an application", a.key())
	f.Text("key of the keys", keysKey)
	f.Text("key of a launch context", a.contextKey(jobID(a.ID, 3), 4))
	f.Text("prefix of final records", finalPrefix)
	f.Text("prefix of launch contexts", contextPrefix)
	f.Text("id of a job", jobID(17, 23))
	f.Number("its number", jobSeq(jobID(17, 23)))
	f.Number("number of a container", int(containerNumber(23, 41)))
	f.Text("name of a container", ContainerName(a.containerID(23, 41)))
	tok := golden.Filled[token]()
	tok.kind, tok.clusterTimestamp, tok.application, tok.attempt, tok.key, tok.container = containerToken, 2, 3, 4, 5, 6
	f.Text("token", tok.String())
	if back, err := parseToken([]byte(tok.String())); err != nil || back != tok {
		t.Errorf("token %+v is parsed as %+v, error %v", tok, back, err)
	}
	for name, state := range map[string]applicationState{"accepted": stateAccepted, "running": stateRunning, "finished": stateFinished, "failed": stateFailed, "killed": stateKilled} {
		f.Text("state "+name, string(state))
	}
	for name, kind := range map[string]string{"master's": yarnMasterTokenKind, "node's": yarnNodeTokenKind, "container's": yarnContainerTokenKind, "short master's": string(masterToken), "short node's": string(nodeToken)} {
		f.Text("kind of token, "+name, kind)
	}
}
