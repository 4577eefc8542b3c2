package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/routing"
)

// This file keeps what package routing decides on: the leader's plan, which
// nodes can pass reports on, and which workers were sent where.

const (
	planEvery = 500 * time.Millisecond
	// planFor is for how long a plan or a node's question is taken for news.
	planFor = 2500 * time.Millisecond
	// settleFor is for how long after a change of leader no worker is moved:
	// what matters then is that each is answered.
	settleFor = 10 * time.Second
	// guestsMost bounds what is remembered of workers that were sent away.
	guestsMost = 20000
)

// Of a node's sockets: users' requests beyond a quarter are answered and
// closed, and a fifth is kept for the node's own calls.
const (
	usersKeep = 0.25
	doorShare = 0.8
	// holdShare is up to which part of its sockets a node lets reports wait for
	// a leader: beyond it others would find none.
	holdShare = 0.6
)

type guest struct {
	to string
	at time.Time
}

type asker struct {
	room int
	at   time.Time
}

// counts are what a node has done with reports so far.
type counts struct {
	passed, passFailed, moved uint64
}

func (n *Node) count(f func(*counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.counts)
}

// published is a plan and when it was learnt.
type published struct {
	routing.Plan
	at    time.Time
	since time.Time // when this node first saw its leader's token
}

func newMoves() *rate.Limiter { return rate.NewLimiter(20, 20) }

// keepPlan makes the plan while this node leads.
func (n *Node) keepPlan(ctx context.Context) {
	for call.Pause(ctx, planEvery) {
		l := n.leadership()
		if l == nil || !l.term.Valid() {
			if p := n.plan.Load(); p != nil && p.Leader == n.cfg.Node {
				n.plan.Store(nil)
			}
			continue
		}
		now := time.Now()
		l.mu.Lock()
		workers := l.m.Expecting(now)
		l.mu.Unlock()
		var relays []routing.Node
		n.mu.Lock()
		for name, a := range n.askers {
			if now.Sub(a.at) < planFor && a.room > 0 {
				relays = append(relays, routing.Node{Name: name, Room: a.room})
			}
		}
		n.mu.Unlock()
		n.learn(routing.New(n.cfg.Node, l.term.Token, workers, n.cfg.Cluster.Limits.Sockets, relays), now)
	}
}

// learn takes a plan in. Moves are paced by the size of the fleet: the whole
// of it moves in no less than half a minute.
func (n *Node) learn(p routing.Plan, now time.Time) {
	since := now
	if old := n.plan.Load(); old != nil && old.Token == p.Token && old.Leader == p.Leader {
		since = old.since
	}
	n.moves.SetLimitAt(now, rate.Limit(max(20, float64(p.Workers)/30)))
	n.plan.Store(&published{Plan: p, at: now, since: since})
}

// currentPlan is the plan of that leader, nil where it is not known or old.
func (n *Node) currentPlan(leader string) *published {
	p := n.plan.Load()
	if p == nil || p.Leader != leader || time.Since(p.at) > planFor {
		return nil
	}
	return p
}

func (n *Node) guest(machine string) routing.Guest {
	var g routing.Guest
	now := time.Now()
	n.mu.Lock()
	if sent, ok := n.sent[machine]; ok {
		g.SentTo, g.SentAgo = sent.to, now.Sub(sent.at)
	}
	n.mu.Unlock()
	ago, ok := n.answered.Ago(machine, now)
	g.Kept = ok && ago < config.Seconds(n.cfg.Cluster.Workers.LeaseS)
	return g
}

func (n *Node) noteSent(machine, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.sent) >= guestsMost {
		clear(n.sent)
	}
	n.sent[machine] = guest{to: to, at: time.Now()}
}

// route says what to do with the report of a worker at a node that does not
// lead.
func (n *Node) route(machine, leader string) (to string, pass bool) {
	lane := n.lane(leader)
	p := n.currentPlan(leader)
	var plan *routing.Plan
	if p != nil {
		plan = &p.Plan
	}
	g := n.guest(machine)
	to, pass = routing.Follower(n.cfg.Node, leader, machine, plan, g, n.workersFull(), lane != nil && lane.Reach())
	if pass || !g.Kept || plan == nil || !plan.Spread() {
		return to, pass
	}
	// One that is served here goes when nothing else is going on.
	if time.Since(p.since) < settleFor || !n.fresh(machine) || !n.moves.Allow() {
		return "", true
	}
	n.count(func(c *counts) { c.moved++ })
	return to, false
}

// moveAway says where this node, which leads, sends a worker that has reported
// to it; "" to keep it.
func (n *Node) moveAway(machine string) string {
	p := n.currentPlan(n.cfg.Node)
	if p == nil || n.door == nil || time.Since(p.since) < settleFor {
		return ""
	}
	to := routing.Leader(machine, &p.Plan, n.guest(machine), n.door.Open(admission.Worker), n.fresh(machine))
	if to == "" || !n.moves.Allow() {
		return ""
	}
	n.count(func(c *counts) { c.moved++ })
	return to
}

// workersFull says whether as many workers' connections are open as are kept.
func (n *Node) workersFull() bool {
	return n.door != nil && n.door.Open(admission.Worker) > routing.Keep(n.cfg.Cluster.Limits.Sockets)
}

// usersFull says the same of users'.
func (n *Node) usersFull() bool {
	return n.door != nil && n.door.Open(admission.User) > max(8, int(usersKeep*float64(n.cfg.Cluster.Limits.Sockets)))
}

// crowded says whether connections are so many that none should wait.
func (n *Node) crowded() bool {
	return n.door != nil && n.door.All() > int(holdShare*float64(n.cfg.Cluster.Limits.Sockets))
}

// asUser notes that a request is a user's.
func (n *Node) asUser(w http.ResponseWriter, r *http.Request) {
	if c := admission.Of(r.Context()); c != nil {
		c.Is(admission.User)
	}
	if n.usersFull() {
		w.Header().Set("Connection", "close")
	}
}

func (n *Node) lane(name string) *peerrpc.Lane {
	for _, l := range n.lanes {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// ask is what this node says of itself when it asks another.
func (n *Node) ask() peerrpc.Request {
	lost, at := n.reader.Lost()
	return peerrpc.Request{From: n.cfg.Node, Room: routing.Keep(n.cfg.Cluster.Limits.Sockets), Lost: lost, LostAt: at}
}

// Status implements mesh.Handler.
func (n *Node) Status(asks peerrpc.Request) peerrpc.Status {
	if asks.From != "" && n.lane(asks.From) != nil {
		n.mu.Lock()
		n.askers[asks.From] = asker{room: asks.Room, at: time.Now()}
		n.mu.Unlock()
	}
	if asks.Lost != "" {
		n.told(asks.Lost, asks.LostAt)
	}
	s := peerrpc.Status{Node: n.cfg.Node, Leader: n.elector.Leader(), StateOK: n.stateOK(), Form: n.form()}
	if p := n.currentPlan(n.cfg.Node); p != nil && n.leads() {
		s.Plan = &p.Plan
	}
	return s
}
