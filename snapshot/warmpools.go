package snapshot

import (
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// checkWarmPools reports which records of warm pools can't be read, and which accounts do not add up:
// what the teams owe must be what the machines cost, each up to the record's time.
func (v *verifier) checkWarmPools() {
	records := map[string]wire.Raw{}
	for key, raw := range v.values {
		if name, ok := strings.CutPrefix(key, jobstore.PlanStatePrefix); ok {
			records[name] = raw
		}
	}
	states, unreadable := warmpool.ReadStates(records)
	for _, name := range unreadable {
		v.report(jobstore.PlanStatePrefix+name, "can't be read")
	}
	for i := range states {
		for _, why := range states[i].Audit() {
			v.report(jobstore.PlanStatePrefix+warmpool.RecordName(states[i].Name), "%s", why)
		}
	}
}
