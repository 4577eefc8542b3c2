package snapshot

import (
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// checkWarmPools says which records of warm pools can't be read, and which accounts do not
// add up: what the teams owe is what the machines cost, each up to the record's time.
func (v *verifier) checkWarmPools() {
	notes := map[string]wire.Raw{}
	for k, raw := range v.all {
		if name, ok := strings.CutPrefix(k, jobstore.PlanStatePrefix); ok {
			notes[name] = raw
		}
	}
	all, bad := warmpool.ReadStates(notes)
	for _, name := range bad {
		v.report(jobstore.PlanStatePrefix+name, "can't be read")
	}
	for i := range all {
		for _, why := range all[i].Audit() {
			v.report(jobstore.PlanStatePrefix+warmpool.RecordName(all[i].Name), "%s", why)
		}
	}
}
