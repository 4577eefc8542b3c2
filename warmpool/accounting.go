// Accounting of warm pools. Every millisecond of a pool's machine is charged to exactly one team.
// Time is divided into billing spans. A span ends, and the next one starts, when the shares or the
// price change. Each team with a share is charged that share of the span, rounded down. The payer
// is charged the rest.

package warmpool

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Charge is an amount that a team owes: machine time in milliseconds and money in millionths of
// the catalog's currency unit.
type Charge struct {
	Ms     int64 `msgpack:"s"`
	Micros int64 `msgpack:"m"`
}

func (c Charge) add(other Charge) Charge {
	return Charge{c.Ms + other.Ms, c.Micros + other.Micros}
}

// TeamShare is a team's share of a machine in thousandths. It is the share of the resource that
// the team has booked most of.
type TeamShare struct {
	Team     string `msgpack:"t"`
	PerMille int    `msgpack:"p"`
}

// Member is a machine of a pool. Its open billing span started at the shard's AtMs or when the
// machine joined, whichever is later.
type Member struct {
	Machine     string      `msgpack:"m"`
	Zone        string      `msgpack:"z,omitempty"`
	SinceMs     int64       `msgpack:"s"`           // Unix time at which the machine joined
	HourlyRate  int64       `msgpack:"r"`           // price in millionths per hour in the open span
	Shares      []TeamShare `msgpack:"b,omitempty"` // teams' shares in the open span
	AgentEpoch  uint64      `msgpack:"v,omitempty"` // epoch of the worker's agent when the weights were last seen
	WarmVersion int         `msgpack:"i,omitempty"` // version of the pool's image whose weights are present; 0: none
	Leaving     bool        `msgpack:"l,omitempty"` // released: to be returned unless it is used again first
	Cost        Charge      `msgpack:"c"`           // total of the settled spans
}

// Shard is the committed state of up to ShardSize of a pool's machines and their account. One key
// of the store holds one shard. Everything up to AtMs is charged and nothing after it. A new
// leader continues at AtMs, so no time is missed or charged twice.
type Shard struct {
	AtMs           int64             `msgpack:"a"`           // Unix time of the last settlement
	Members        []Member          `msgpack:"m,omitempty"` // sorted by machine
	Teams          map[string]Charge `msgpack:"t,omitempty"` // total charges by team
	ClosedCost     Charge            `msgpack:"c"`           // total cost of machines that have left
	Hits           int64             `msgpack:"h,omitempty"`
	Misses         int64             `msgpack:"x,omitempty"`
	Preemptions    int64             `msgpack:"d,omitempty"` // tasks of higher tiers that took room
	LastPreemption string            `msgpack:"w,omitempty"` // description and reason of the last preemption
}

// ShardSize is the maximum number of machines in a shard.
const ShardSize = 40

// Settle charges the open billing spans up to nowMs, where the next spans start. If nowMs is not
// after the last settlement, as with a clock that is behind, nothing is charged.
func (s *Shard) Settle(nowMs int64, payer string) {
	if nowMs <= s.AtMs {
		return
	}
	for i := range s.Members {
		s.settleMember(&s.Members[i], nowMs, payer)
	}
	s.AtMs = nowMs
}

// spanStartMs returns when a member's open billing span started.
func (s *Shard) spanStartMs(m *Member) int64 { return max(s.AtMs, m.SinceMs) }

// settleMember charges a member's open billing span up to nowMs.
func (s *Shard) settleMember(m *Member, nowMs int64, payer string) {
	fromMs := s.spanStartMs(m)
	if m.Cost == (Charge{}) {
		fromMs = m.SinceMs // the first span may start before the shard's last settlement
	}
	ms := nowMs - fromMs
	if ms <= 0 {
		return
	}
	total := Charge{Ms: ms, Micros: cost(ms, m.HourlyRate)}
	rest := total
	if s.Teams == nil {
		s.Teams = map[string]Charge{}
	}
	for _, share := range m.Shares {
		// The shares may sum to more than the whole, so a part is limited to the rest.
		part := Charge{Ms: min(rest.Ms, ms*int64(share.PerMille)/1000)}
		part.Micros = min(rest.Micros, cost(part.Ms, m.HourlyRate))
		if part == (Charge{}) || share.Team == payer {
			continue
		}
		s.Teams[share.Team] = s.Teams[share.Team].add(part)
		rest = Charge{rest.Ms - part.Ms, rest.Micros - part.Micros}
	}
	s.Teams[payer] = s.Teams[payer].add(rest)
	m.Cost = m.Cost.add(total)
}

// cost returns the cost of ms milliseconds at an hourly rate, in the unit of the rate. Computing
// full hours and the remainder separately avoids overflow.
func cost(ms, hourlyRate int64) int64 {
	const msPerHour = 3_600_000
	return ms/msPerHour*hourlyRate + ms%msPerHour*hourlyRate/msPerHour
}

// ToMicros returns a price in millionths, rounded.
func ToMicros(price float64) int64 { return int64(math.Round(price * 1e6)) }

// Join adds a machine that is charged from m.SinceMs on. SinceMs may be before the last
// settlement because the boot of the machine is charged too. The machine must not be in the shard.
func (s *Shard) Join(m Member) {
	m.Cost = Charge{}
	i, _ := slices.BinarySearchFunc(s.Members, m.Machine, func(member Member, name string) int { return cmp.Compare(member.Machine, name) })
	s.Members = slices.Insert(s.Members, i, m)
}

// Leave charges a machine up to nowMs and removes it. It reports whether the machine was in the
// shard.
func (s *Shard) Leave(machine string, nowMs int64, payer string) bool {
	m := s.Member(machine)
	if m == nil {
		return false
	}
	s.settleMember(m, nowMs, payer)
	s.ClosedCost = s.ClosedCost.add(m.Cost)
	s.Members = slices.DeleteFunc(s.Members, func(member Member) bool { return member.Machine == machine })
	return true
}

// SetShares sets the teams' shares of a machine and its hourly rate from nowMs on. If they differ
// from the current ones, the open billing spans are settled first. It reports whether anything
// changed. m must be a member of the shard.
func (s *Shard) SetShares(m *Member, shares []TeamShare, hourlyRate int64, nowMs int64, payer string) bool {
	if m.HourlyRate == hourlyRate && slices.Equal(m.Shares, shares) {
		return false
	}
	// All spans of the shard end together, so that AtMs is the start of all open spans.
	s.Settle(nowMs, payer)
	m.HourlyRate, m.Shares = hourlyRate, shares
	return true
}

// Member returns the member with the given machine name, or nil if there is none. The pointer is
// valid until the next Join or Leave.
func (s *Shard) Member(machine string) *Member {
	i, ok := slices.BinarySearchFunc(s.Members, machine, func(member Member, name string) int { return cmp.Compare(member.Machine, name) })
	if !ok {
		return nil
	}
	return &s.Members[i]
}

// Clone returns a copy of the shard whose members and charges can change independently.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Members, c.Teams = slices.Clone(s.Members), maps.Clone(s.Teams)
	return &c
}

// Totals returns the sums over a pool's shards: the charge of each team and the settled cost of
// all machines, including those that have left. The teams' charges add up to the machines' cost.
func Totals(shards []Shard) (teams map[string]Charge, machines Charge) {
	teams = map[string]Charge{}
	for i := range shards {
		for team, charge := range shards[i].Teams {
			teams[team] = teams[team].add(charge)
		}
		machines = machines.add(shards[i].ClosedCost)
		for k := range shards[i].Members {
			machines = machines.add(shards[i].Members[k].Cost)
		}
	}
	return teams, machines
}
