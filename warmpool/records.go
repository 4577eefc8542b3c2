// Stored records of a pool and their names. The next leader continues from the records, and
// operators' commands read them.

package warmpool

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// recordPrefix is the prefix of the names of pools' records. They are stored together with the
// other records that belong to the plan.
const recordPrefix = "pools/"

// RecordName returns the name of a pool's Record.
func RecordName(pool string) string { return recordPrefix + pool + "/now" }

// DayName returns the name of the demand record of a day of the week (0 is Monday). The record
// holds the 24 texts of WeeklyDemand.EncodeDay.
func DayName(pool string, day int) string { return fmt.Sprintf("%s%s/day%d", recordPrefix, pool, day) }

// ShardName returns the name of a pool's shard with the given number, from 0 to MaxShards-1.
func ShardName(pool string, number int) string {
	return fmt.Sprintf("%s%s/m%d", recordPrefix, pool, number)
}

// MaxShards is the maximum number of shards of a pool.
const MaxShards = (maxPoolSize + ShardSize - 1) / ShardSize

// Record is a pool's status as last recorded by the leader.
type Record struct {
	AtMs               int64   `msgpack:"a"` // Unix time of the record
	CurrentHour        int64   `msgpack:"h"` // the current hour, in hours since 1970
	CurrentPeak        int     `msgpack:"p"` // highest number of replicas wanted at once in CurrentHour so far
	Image              string  `msgpack:"i"` // image whose weights the pool holds
	WeightsGB          float64 `msgpack:"g"`
	ImageVersion       int     `msgpack:"n"`           // incremented with each new image
	ReplicasPerMachine int     `msgpack:"m"`           // number of replicas that fit on a machine
	Priority           int     `msgpack:"r"`           // priority of the replicas; 0 is the highest
	Class              string  `msgpack:"t,omitempty"` // class of the replicas
	Payer              string  `msgpack:"w"`
	Target             int     `msgpack:"x"`           // number of machines to hold
	Held               int     `msgpack:"y"`           // number of machines held
	Warm               int     `msgpack:"z"`           // number of held machines that have the weights
	Fetching           int     `msgpack:"f,omitempty"` // number of machines that fetch the weights
	CostLimited        bool    `msgpack:"l,omitempty"` // the cost limit bounds Target
	FetchRefused       string  `msgpack:"e,omitempty"` // why the weights are not fetched in advance; "" if they are
}

// State holds all records of a pool except its demand.
type State struct {
	Name   string
	Record Record
	Shards []Shard
}

// ReadStates decodes the records of all pools, sorted by pool. records holds the plan's stored
// records by name; those of other kinds are ignored. unreadable holds the names of pool records
// that can't be decoded. A pool with an unreadable Record is returned with a zero Record.
func ReadStates(records map[string]wire.Raw) (states []State, unreadable []string) {
	for _, name := range slices.Sorted(maps.Keys(records)) {
		pool, ok := strings.CutSuffix(strings.TrimPrefix(name, recordPrefix), "/now")
		if !ok || !strings.HasPrefix(name, recordPrefix) {
			continue
		}
		state := State{Name: pool}
		if wire.Unmarshal(records[name], &state.Record) != nil {
			unreadable = append(unreadable, name)
		}
		for number := range MaxShards {
			raw, ok := records[ShardName(pool, number)]
			if !ok {
				continue
			}
			var shard Shard
			if wire.Unmarshal(raw, &shard) != nil {
				unreadable = append(unreadable, ShardName(pool, number))
				continue
			}
			state.Shards = append(state.Shards, shard)
		}
		states = append(states, state)
	}
	return states, unreadable
}

// Audit returns a description of each inconsistency in a pool's accounts, or nil if there is none.
// The teams' charges must equal the machines' cost. Each machine must be charged for its whole
// time in the pool and must be a member only once.
func (s *State) Audit() (findings []string) {
	report := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	teams, machines := Totals(s.Shards)
	sum := Charge{}
	for _, charge := range teams {
		sum = sum.add(charge)
	}
	if sum != machines {
		report("the teams owe %d ms and %d, the machines cost %d ms and %d", sum.Ms, sum.Micros, machines.Ms, machines.Micros)
	}
	seen := map[string]bool{}
	for i := range s.Shards {
		for _, m := range s.Shards[i].Members {
			if presentMs := max(s.Shards[i].AtMs-m.SinceMs, 0); m.Cost.Ms != presentMs {
				report("%s is charged for %d ms, and was there for %d", m.Machine, m.Cost.Ms, presentMs)
			}
			if seen[m.Machine] {
				report("%s is there twice", m.Machine)
			}
			seen[m.Machine] = true
		}
	}
	return findings
}
