package snapshot

import (
	"strings"

	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/pools"
	"github.com/umberdeal/umberdeal/wire"
)

// pools says which records of warm pools can't be read, and which accounts do not
// add up: what the teams owe is what the machines cost, each up to the record's time.
func (v *verifier) pools() {
	notes := map[string]wire.Raw{}
	for k, raw := range v.all {
		if name, ok := strings.CutPrefix(k, ledger.Notes); ok {
			notes[name] = raw
		}
	}
	all, bad := pools.ReadStates(notes)
	for _, name := range bad {
		v.say(ledger.Notes+name, "can't be read")
	}
	for i := range all {
		for _, why := range all[i].Audit() {
			v.say(ledger.Notes+pools.NoteName(all[i].Name), "%s", why)
		}
	}
}
