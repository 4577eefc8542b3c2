package warmpool

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// This file says who pays. Every millisecond of a machine of a pool is charged to
// exactly one team: what a team books of the machine it pays for, so many of a
// span's milliseconds as its share is, rounded down; the payer has the rest. A
// span ends whenever the shares or the price change, and the next begins there.

// Charge is what a team owes: milliseconds of machines, and money in millionths
// of the catalogue's unit.
type Charge struct {
	Ms     int64 `msgpack:"s"`
	Micros int64 `msgpack:"m"`
}

func (c Charge) add(o Charge) Charge { return Charge{c.Ms + o.Ms, c.Micros + o.Micros} }

// TeamShare is a team's share of a machine, in thousandths: of that resource of which
// it books the most.
type TeamShare struct {
	Team     string `msgpack:"t"`
	PerMille int    `msgpack:"p"`
}

// Member is a machine of a pool. Its open span began when the shard's last span
// ended, or when it joined if that was later.
type Member struct {
	Machine     string      `msgpack:"m"`
	Zone        string      `msgpack:"z,omitempty"`
	SinceMs     int64       `msgpack:"s"`           // when it joined
	HourlyRate  int64       `msgpack:"r"`           // millionths an hour, in the open span
	Shares      []TeamShare `msgpack:"b,omitempty"` // in the open span
	AgentEpoch  uint64      `msgpack:"v,omitempty"` // of its worker when it was last seen with weights
	WarmVersion int         `msgpack:"i,omitempty"` // number of the pool's image whose weights it has; 0: none
	Leaving     bool        `msgpack:"l,omitempty"` // no more wanted: to be returned, unless it is used first
	Cost        Charge      `msgpack:"c"`           // of its spans that are over
}

// Shard is a part of a pool's machines with their account, as it is committed:
// one key holds ShardSize machines. Up to AtMs everything is charged, nothing
// beyond; a leader that begins where the one before ended leaves no gap and
// charges nothing twice.
type Shard struct {
	AtMs           int64             `msgpack:"a"`
	Members        []Member          `msgpack:"m,omitempty"`
	Teams          map[string]Charge `msgpack:"t,omitempty"`
	ClosedCost     Charge            `msgpack:"c"` // of machines that have left
	Hits           int64             `msgpack:"h,omitempty"`
	Misses         int64             `msgpack:"x,omitempty"`
	Preemptions    int64             `msgpack:"d,omitempty"` // tasks of higher tiers that took room
	LastPreemption string            `msgpack:"w,omitempty"` // the last of those, and why
}

// ShardSize is how many machines one record holds.
const ShardSize = 40

// Settle charges the open spans up to a time, which becomes the beginning of the
// next ones. A time before the last is a clock that is behind: nothing is charged.
func (s *Shard) Settle(nowMs int64, payer string) {
	if nowMs <= s.AtMs {
		return
	}
	for i := range s.Members {
		s.settleMember(&s.Members[i], nowMs, payer)
	}
	s.AtMs = nowMs
}

// spanStartMs is when a member's open span began.
func (s *Shard) spanStartMs(m *Member) int64 { return max(s.AtMs, m.SinceMs) }

func (s *Shard) settleMember(m *Member, nowMs int64, payer string) {
	from := s.spanStartMs(m)
	if m.Cost == (Charge{}) {
		from = m.SinceMs // its first span may begin before the shard's last ended
	}
	ms := nowMs - from
	if ms <= 0 {
		return
	}
	whole := Charge{Ms: ms, Micros: cost(ms, m.HourlyRate)}
	rest := whole
	if s.Teams == nil {
		s.Teams = map[string]Charge{}
	}
	for _, p := range m.Shares {
		// Never more than is left, whatever the shares sum to.
		part := Charge{Ms: min(rest.Ms, ms*int64(p.PerMille)/1000)}
		part.Micros = min(rest.Micros, cost(part.Ms, m.HourlyRate))
		if part == (Charge{}) || p.Team == payer {
			continue
		}
		s.Teams[p.Team] = s.Teams[p.Team].add(part)
		rest = Charge{rest.Ms - part.Ms, rest.Micros - part.Micros}
	}
	s.Teams[payer] = s.Teams[payer].add(rest)
	m.Cost = m.Cost.add(whole)
}

// cost is what so many milliseconds cost at a rate in millionths an hour.
func cost(ms, rate int64) int64 {
	const hour = 3_600_000
	return ms/hour*rate + ms%hour*rate/hour
}

// ToMicros is a price in millionths.
func ToMicros(price float64) int64 { return int64(math.Round(price * 1e6)) }

// Join takes a machine in, from a time on that may lie before the last settling:
// its boot is paid for too. It must not be in the shard.
func (s *Shard) Join(m Member) {
	m.Cost = Charge{}
	i, _ := slices.BinarySearchFunc(s.Members, m.Machine, func(o Member, name string) int { return cmp.Compare(o.Machine, name) })
	s.Members = slices.Insert(s.Members, i, m)
}

// Leave ends a machine's last span at that time.
func (s *Shard) Leave(machine string, nowMs int64, payer string) bool {
	m := s.Member(machine)
	if m == nil {
		return false
	}
	s.settleMember(m, nowMs, payer)
	s.ClosedCost = s.ClosedCost.add(m.Cost)
	s.Members = slices.DeleteFunc(s.Members, func(o Member) bool { return o.Machine == machine })
	return true
}

// SetShares says who books how much of a machine at which price from now on. What was
// so far is settled first if it differs.
func (s *Shard) SetShares(m *Member, parts []TeamShare, rate int64, nowMs int64, payer string) bool {
	if m.HourlyRate == rate && slices.Equal(m.Shares, parts) {
		return false
	}
	// All of the shard's spans end, so that one time says where all begin.
	s.Settle(nowMs, payer)
	m.HourlyRate, m.Shares = rate, parts
	return true
}

// Member finds a machine.
func (s *Shard) Member(machine string) *Member {
	i, ok := slices.BinarySearchFunc(s.Members, machine, func(o Member, name string) int { return cmp.Compare(o.Machine, name) })
	if !ok {
		return nil
	}
	return &s.Members[i]
}

// Clone is a shard that does not change with this one.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Members, c.Teams = slices.Clone(s.Members), maps.Clone(s.Teams)
	return &c
}

// Totals sums a pool's shards: what the teams owe, and what its machines have
// cost. The two are equal.
func Totals(shards []Shard) (teams map[string]Charge, machines Charge) {
	teams = map[string]Charge{}
	for i := range shards {
		for t, c := range shards[i].Teams {
			teams[t] = teams[t].add(c)
		}
		machines = machines.add(shards[i].ClosedCost)
		for k := range shards[i].Members {
			machines = machines.add(shards[i].Members[k].Cost)
		}
	}
	return teams, machines
}
