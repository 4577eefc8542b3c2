package warmpool

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// This file says what is recorded of a pool and under which names, for the next
// leader and for operators.

// recordPrefix is where the pools' records lie among those of the plan's parts.
const recordPrefix = "pools/"

// RecordName names a pool's Note.
func RecordName(pool string) string { return recordPrefix + pool + "/now" }

// DayName names what is known of a day of the week, a list of 24 texts (Week.Day).
func DayName(pool string, day int) string { return fmt.Sprintf("%s%s/day%d", recordPrefix, pool, day) }

// ShardName names one of a pool's shards.
func ShardName(pool string, n int) string { return fmt.Sprintf("%s%s/m%d", recordPrefix, pool, n) }

// MaxShards is how many shards a pool has at most.
const MaxShards = (maxPoolSize + ShardSize - 1) / ShardSize

// Record is how a pool stands, as the leader last recorded it.
type Record struct {
	AtMs               int64   `msgpack:"a"`
	CurrentHour        int64   `msgpack:"h"` // since 1970: the one that is not over
	CurrentPeak        int     `msgpack:"p"` // of replicas wanted at once in it, so far
	Image              string  `msgpack:"i"` // the weights that are held
	WeightsGB          float64 `msgpack:"g"`
	ImageVersion       int     `msgpack:"n"`           // counts the images
	ReplicasPerMachine int     `msgpack:"m"`           // replicas that a machine takes
	Priority           int     `msgpack:"r"`           // priority of the replicas, 0 being the highest
	Class              string  `msgpack:"t,omitempty"` // of the replicas
	Payer              string  `msgpack:"w"`
	Target             int     `msgpack:"x"` // machines
	Held               int     `msgpack:"y"`
	Warm               int     `msgpack:"z"` // of those that are held
	Fetching           int     `msgpack:"f,omitempty"`
	CostLimited        bool    `msgpack:"l,omitempty"` // more would be wanted than may be paid for
	FetchRefused       string  `msgpack:"e,omitempty"` // why the weights are not fetched ahead
}

// State is all that is recorded of a pool.
type State struct {
	Name   string
	Record Record
	Shards []Shard
}

// ReadStates reads the pools' records from those of the plan's parts, by their
// names; bad names those that can't be read.
func ReadStates(notes map[string]wire.Raw) (out []State, bad []string) {
	for _, name := range slices.Sorted(maps.Keys(notes)) {
		pool, ok := strings.CutSuffix(strings.TrimPrefix(name, recordPrefix), "/now")
		if !ok || !strings.HasPrefix(name, recordPrefix) {
			continue
		}
		s := State{Name: pool}
		if wire.Unmarshal(notes[name], &s.Record) != nil {
			bad = append(bad, name)
		}
		for n := range MaxShards {
			raw, ok := notes[ShardName(pool, n)]
			if !ok {
				continue
			}
			var sh Shard
			if wire.Unmarshal(raw, &sh) != nil {
				bad = append(bad, ShardName(pool, n))
				continue
			}
			s.Shards = append(s.Shards, sh)
		}
		out = append(out, s)
	}
	return out, bad
}

// Audit says what in a pool's accounts does not add up.
func (s *State) Audit() (found []string) {
	bad := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	teams, machines := Totals(s.Shards)
	sum := Charge{}
	for _, c := range teams {
		sum = sum.add(c)
	}
	if sum != machines {
		bad("the teams owe %d ms and %d, the machines cost %d ms and %d", sum.Ms, sum.Micros, machines.Ms, machines.Micros)
	}
	in := map[string]bool{}
	for i := range s.Shards {
		for _, m := range s.Shards[i].Members {
			if there := max(s.Shards[i].AtMs-m.SinceMs, 0); m.Cost.Ms != there {
				bad("%s is charged for %d ms, and was there for %d", m.Machine, m.Cost.Ms, there)
			}
			if in[m.Machine] {
				bad("%s is there twice", m.Machine)
			}
			in[m.Machine] = true
		}
	}
	return found
}
