// Verification of the records of warm pools.

package snapshot

import (
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// checkWarmPools reports records of warm pools that can't be decoded or whose accounts do not balance. The
// sum charged to teams must equal the cost of the machines up to the time of the record.
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
