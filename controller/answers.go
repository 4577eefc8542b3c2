package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is what the leader says to workers.

// report answers a worker. agoS is how long ago the node that passes the report
// on last had an answer for it, negative if that is not known; via is the node that
// it came to.
func (l *leadership) report(ctx context.Context, body []byte, agoS float64, via string) peerrpc.Answer {
	unsure := answer(http.StatusServiceUnavailable, wire.Error{Error: "not sure of leading"}, 1)
	if !l.term.Valid() {
		return unsure
	}
	var r wire.Report
	if err := wire.Unmarshal(body, &r); err != nil || r.Machine == "" || r.Session == 0 {
		l.log.Info("malformed report", "err", err)
		return answer(http.StatusBadRequest, wire.Error{Error: "malformed report"}, 0)
	}
	if err := l.gate.Enter(ctx, l.n.leaseLeft(r.Machine, agoS)); err != nil {
		return answer(http.StatusServiceUnavailable, wire.Error{Error: "too many reports under way"}, 1)
	}
	l.mu.Lock()
	now := time.Now()
	if r.Token > l.m.Token {
		l.mu.Unlock()
		l.gate.Leave()
		l.log.Info("a worker has seen a higher token", "machine", r.Machine, "token", r.Token)
		l.term.Resign()
		return redirect("")
	}
	freed := l.m.Freed
	mc := l.m.Observe(&r, now)
	if mc == nil && l.term.Valid() {
		if cmds, ok := l.m.Repeated(&r, via); ok {
			l.mu.Unlock()
			l.gate.Leave()
			a := l.commands(cmds)
			a.Repeated = true
			return a
		}
	}
	if mc != nil {
		l.m.Came(mc, via, now)
		if via == l.n.cfg.Node {
			l.lastAny = now // a late copy shows nothing of whether workers reach this node
		}
	}
	l.gate.Leave()
	if mc != nil && l.m.Freed != freed {
		mc.Held++
		l.awaitPass()
		mc.Held--
	}
	// The lease is looked at last: the answer counts from here. A worker that
	// has sent another report meanwhile waits for this answer no more.
	if mc == nil || mc.Seq != r.Seq || mc.Session != r.Session || !l.term.Valid() {
		l.mu.Unlock()
		return unsure
	}
	cmds := l.m.Answer(mc, &r, time.Now())
	l.mu.Unlock()
	kick(l.schedKick)
	kick(l.flushKick)
	return l.commands(cmds)
}

// commands is the answer of a leader that was sure of its lease when it made them.
func (l *leadership) commands(cmds []wire.Command) peerrpc.Answer {
	if cmds == nil {
		cmds = []wire.Command{}
	}
	return answer(http.StatusOK, wire.ReportAnswer{Token: l.term.Token, Commands: cmds}, 0)
}

// holdFor is how long an answer waits for what is to follow from its report.
// It is worth the more the longer the worker's next report takes to come; a
// worker gives an answer up after 4 s.
func (l *leadership) holdFor() time.Duration {
	return config.Seconds(min(max(0.4, l.n.cfg.Cluster.Workers.ReportS/4), 1.5))
}

// awaitPass holds an answer back until room that the report has freed is given
// out and recorded, so that the launch goes with this answer and not with that
// to the next report. The lock is held before and after, not meanwhile.
func (l *leadership) awaitPass() {
	target := l.passes + 1
	timer := time.NewTimer(l.holdFor())
	defer timer.Stop()
	kick(l.schedKick)
	for l.passes < target || l.writing || !l.m.Clean() {
		turned := l.turned
		l.mu.Unlock()
		late := false
		select {
		case <-turned:
		case <-timer.C:
			late = true
		}
		l.mu.Lock()
		if late {
			return
		}
	}
}

// turn wakes those who wait for a pass or a batch; the lock is held.
func (l *leadership) turn() {
	close(l.turned)
	l.turned = make(chan struct{})
}

// pushStops sends stops to the workers' own addresses: there they arrive at
// once, and may safely be executed late.
func (l *leadership) pushStops(ctx context.Context) {
	if !l.term.Valid() {
		return
	}
	l.mu.Lock()
	batch := l.m.DirectStops(time.Now())
	l.mu.Unlock()
	for _, d := range batch {
		select {
		case l.direct <- struct{}{}:
		default:
			continue // the next answer to a report carries them
		}
		go func() {
			defer func() { <-l.direct }()
			r, done, err := l.n.workers.Command(ctx, d.Addr, d.Batch)
			if err != nil {
				l.log.Debug("direct stop", "machine", d.Machine, "err", err)
				return
			}
			l.log.Debug("direct stop", "machine", d.Machine, "executed", done, "seq", r.Seq)
		}()
	}
}

// summonWait is how long a worker may take to answer a summons. One that hangs
// must not keep the others waiting for long; executed later, it does no harm.
const summonWait = time.Second

// summon makes the workers report for which launches are ready, as many at once
// as there are sockets for. The others follow as these have answered: with those
// left out instead, a quarter of a burst of 2,900 tasks waited for reports.
func (l *leadership) summon(ctx context.Context) {
	if !l.term.Valid() {
		return
	}
	most := 0 // switched off: the model is asked all the same, and forgets what was launched
	l.mu.Lock()
	if l.n.tuning.Launching.Summon {
		most = cap(l.summoning) - len(l.summoning)
	}
	batch := l.m.Summons(most, time.Now())
	for range batch {
		// Taken under the lock, the places are there. In a burst, summonses that
		// two had asked for at the same time were given up for want of a place,
		// and repeated only after a second and a half.
		l.summoning <- struct{}{}
	}
	l.mu.Unlock()
	for _, d := range batch {
		go func() {
			within, cancel := context.WithTimeout(ctx, summonWait)
			defer cancel()
			if _, done, err := l.n.workers.Command(within, d.Addr, d.Batch); err != nil || !done {
				l.log.Debug("summons", "machine", d.Machine, "executed", done, "err", err)
			}
			<-l.summoning
			l.summon(ctx)
		}()
	}
}
