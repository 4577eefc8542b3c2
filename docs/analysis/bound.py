#!/usr/bin/python3
"""Upper bounds of a played day's aims (needs Python 3.11 and scipy).

    bound.py SITE.toml DAY.log [CALM.log]

DAY.log is the printed output of `fleetbench run SITE DAY --log debug`, whose
lines begin with the simulated time and the node. CALM.log is the same day
without its failures (bursts kept), from which run times are taken, since a
leader that is away does not see when tasks begin.

The placer that bounds the service knows all jobs beforehand and has no
failures, delays, image fetches or lost work. It is relaxed to a linear
programme over steps of five seconds: the machines of a type that were up in a
step give their CPUs and GPUs to the jobs in any fractions, within the teams'
limits; a task may be stopped and go on elsewhere at no cost, but is never
faster than it was. A fraction of a job done by its time counts as that
fraction. For an aim on waiting, a job that starts in time must also complete
as if it had then run without a stop. For the aim on guaranteed work, jobs count that
fitted into their team's guarantee beside its earlier unfinished jobs on the
day as played, and the least time that any start of the class took from its
launch until it ran (its image) is taken off. What such a placer cannot do, none can;
what it can do may still be out of reach.
"""
import math
import re
import sys
import tomllib
from collections import defaultdict
from datetime import datetime

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

STEP = 5.0
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
# Messages that had another name in logs of earlier versions.
RENAMED = {
    'job': 'job accepted',
    'job runs': 'job started',
    'job done': 'job completed',
    'launch': 'task launch sent',
    'running': 'task started',
    'exited': 'task exited',
    'rented': 'machine scaled out',
}
LINE = re.compile(r'\s*([\d.]+) (\S+) time=(\S+) level=\S+ (.*)')


def stamp(text):
    return datetime.fromisoformat(text.replace('Z', '+00:00')).timestamp()


def lines(path):
    for line in open(path, errors='replace'):
        m = LINE.match(line)
        if m:
            fields = {k: v.strip('"') for k, v in FIELD.findall(m[4])}
            fields['msg'] = RENAMED.get(fields.get('msg'), fields.get('msg'))
            yield float(m[1]), stamp(m[3]), fields


def exits(path):
    out = defaultdict(dict)
    for _, _, f in lines(path):
        if f.get('msg') == 'task exited':
            out[f['task']][int(f['attempt'])] = (f['why'], f['saved'] == 'true', float(f['ran']))
    return out


class Day:
    def __init__(self, site, log, calm):
        self.site, self.end = site, 0.0
        self.types = {t['name']: t for t in site['machine_types']}
        self.classes = {c['name']: c for c in site['jobs']}
        self.limits = {t['name']: t.get('cpus_max', 0) for t in site['teams']}
        self.guarantee = {t['name']: t.get('cpus', 0) for t in site['teams']}
        self.jobs, kinds, up, gone = {}, {}, {}, {}
        launched, self.image = {}, {}
        for t, wall, f in lines(log):
            self.end = max(self.end, t)
            msg = f.get('msg')
            if msg == 'job accepted' and f['class'] not in self.classes:
                continue  # a guest's: the bound is what could be had without guests
            if msg in ('job completed', 'job started') and f['id'] not in self.jobs:
                continue
            if msg == 'job accepted' and f['id'] not in self.jobs:
                late = wall - stamp(f['at'])
                self.jobs[f['id']] = dict(
                    id=f['id'], cls=f['class'], team=f['team'], n=int(f['tasks']), cpus=float(f['cpus']), gpus=float(f['gpus']),
                    spot=f['spot'] == 'true', at=t - max(0, late) if abs(late) < 90 else t,
                    estimate=float(f['estimate']), deadline=float(f['deadline']))
            elif msg == 'job cancelled' and f['id'] in self.jobs:
                self.jobs[f['id']]['cancelled'] = True
            elif msg == 'task launch sent':
                launched[f['task'], f['attempt']] = t
            elif msg == 'task started' and (f['task'], f['attempt']) in launched:
                j = self.jobs.get(f['task'].split('/')[0])
                if j:
                    took = t - launched[f['task'], f['attempt']]
                    self.image[j['cls']] = min(took, self.image.get(j['cls'], took))
            elif msg == 'job completed':
                self.jobs[f['id']]['done'] = t
            elif msg == 'job started':
                self.jobs[f['id']].setdefault('start', t)
            elif msg in ('machine scaled out', 'machine up', 'machine listed'):
                kinds.setdefault(f['machine'], (f['type'], f['spot'] == 'true'))
                if msg != 'machine scaled out':
                    up.setdefault(f['machine'], t)
            elif msg == 'machine gone':
                gone[f['machine']] = t
            elif msg == 'machine silent past its lease':
                gone.setdefault(f['machine'], t)
        self.steps = int(math.ceil(self.end / STEP))
        self.pools = [(t, spot) for t in self.types for spot in (False, True)]
        self.count = {p: np.zeros(self.steps) for p in self.pools}
        for m, kind in kinds.items():
            if m in up:
                a = int(up[m] / STEP)
                self.count[kind][a:max(a, int(gone.get(m, self.end) / STEP))] += 1
        ran, ran_calm = exits(log), exits(calm) if calm else {}
        for j in self.jobs.values():
            took = []
            for i in range(j['n']):
                name = f"{j['id']}/{i}"
                a = ran_calm.get(name) or ran.get(name, {})
                done = [r for why, _, r in a.values() if why == 'done']
                if done:
                    took.append(sum(r for _, saved, r in a.values() if saved) + max(done))
            if took and self.classes[j['cls']]['kind'] == 'gang':
                took = [max(took)] * j['n']
            j['longest'] = max(took) if took else j['estimate']
            j['work'] = sum(took) + (j['n'] - len(took)) * (np.mean(took) if took else j['estimate'])
        self.smallest = {c: min((j['cpus'] for j in self.jobs.values() if j['cls'] == c), default=0) for c in self.classes}

    def may(self, j, pool):
        t = self.types[pool[0]]
        named = self.classes[j['cls']].get('types')
        return (j['spot'] or not pool[1]) and (not named or pool[0] in named) and j['cpus'] <= t['cpus'] and j['gpus'] <= t.get('gpus', 0)

    def takes(self, j, pool):
        """The CPUs a task takes, with those that nothing else can use beside it."""
        cap = self.types[pool[0]]['cpus']
        fits = int(cap // j['cpus'])
        beside = [self.smallest[c] for c in self.classes if c != j['cls'] and self.smallest[c] and
                  any(self.may(x, pool) for x in self.jobs.values() if x['cls'] == c)]
        if not beside or fits == 1 and cap - j['cpus'] < min(beside):
            return cap / fits
        return j['cpus']

    def bound(self, jobs, limit, work, longest):
        """The largest share of jobs that can have done their work within the limit."""
        rows, cols, vals, rhs = [], [], [], []

        def row(entries, most):
            for c, v in entries:
                rows.append(len(rhs)); cols.append(c); vals.append(v)
            rhs.append(most)

        success = {j['id']: k for k, j in enumerate(jobs)}
        n, share, use = len(jobs), defaultdict(list), defaultdict(list)
        for j in jobs:
            for t in range(int(j['at'] // STEP), min(self.steps, math.ceil((j['at'] + limit(j)) / STEP))):
                for p in self.pools:
                    if self.count[p][t] > 0 and self.may(j, p):
                        share[j['id'], t].append(n); use[p, t].append((n, j)); n += 1
        by_team = defaultdict(list)
        for (p, t), us in use.items():
            room = self.count[p][t] * STEP
            row([(c, self.takes(j, p)) for c, j in us], room * self.types[p[0]]['cpus'])
            if self.types[p[0]].get('gpus'):
                row([(c, j['gpus']) for c, j in us], room * self.types[p[0]]['gpus'])
            for c, j in us:
                by_team[j['team'], t].append((c, j['cpus']))
        for (team, t), us in by_team.items():
            if self.limits.get(team):
                row(us, self.limits[team] * STEP)
        got = defaultdict(list)
        for j in jobs:
            for t in range(self.steps):
                cs = share.get((j['id'], t), [])
                if cs:
                    row([(c, 1) for c in cs], j['n'] * STEP)
                    got[j['id']] += cs
        for j in jobs:
            row([(success[j['id']], work(j))] + [(c, -1) for c in got[j['id']]], 0)
            if longest(j) > limit(j):
                row([(success[j['id']], 1)], 0)
        c = np.zeros(n)
        c[:len(jobs)] = -1
        res = linprog(c, A_ub=coo_matrix((vals, (rows, cols)), shape=(len(rhs), n)).tocsr(), b_ub=rhs,
                      bounds=[(0, 1)] * len(jobs) + [(0, None)] * (n - len(jobs)), method='highs')
        if res.status != 0:
            raise SystemExit(res.message)
        return -res.fun / len(jobs)

    def within(self, jobs):
        """The jobs that fit into their team's guarantee as they come."""
        for j in sorted(jobs, key=lambda j: j['at']):
            use = sum(o['n'] * o['cpus'] for o in jobs
                      if o['team'] == j['team'] and o['at'] < j['at'] and o.get('done', math.inf) > j['at'])
            if 0 < use + j['n'] * j['cpus'] <= self.guarantee[j['team']]:
                yield j

    def report(self):
        live = [j for j in self.jobs.values() if 'cancelled' not in j]
        for aim in self.site['targets']:
            cls = [j for j in live if j['cls'] == aim.get('class')]
            if aim['kind'] == 'wait':
                name, within = f"{aim['class']} started in {aim['within_s']:g} s", aim['within_s']
                limit = lambda j: within + j['longest']
                met = lambda j: j.get('start', math.inf) <= j['at'] + within
            elif aim['kind'] == 'finished':
                name, within = f"{aim['class']} done in {aim['within_s']:g} s", aim['within_s']
                limit = lambda j: within
                met = lambda j: j.get('done', math.inf) <= j['at'] + within
            elif aim['kind'] == 'deadline':
                times = aim.get('times', 1.0)
                name = f"{aim['class']} done by {times:g} x deadline"
                limit = lambda j: times * j['deadline']
                met = lambda j: j.get('done', math.inf) <= j['at'] + times * j['deadline']
            elif aim['kind'] == 'guarantee':
                name, within = f"within its guarantee started in {aim['within_s']:g} s", aim['within_s']
                cls = list(self.within(live))
                limit = lambda j: within - self.image.get(j['cls'], 0) + j['longest']
                met = lambda j: j.get('start', math.inf) <= j['at'] + within
            else:
                continue
            jobs = [j for j in cls if limit(j) > 0 and j['at'] + limit(j) <= self.end]
            if jobs:
                most = self.bound(jobs, limit, lambda j: j['work'], lambda j: j['longest'] - 1)
                print(f"{name}: got {np.mean([met(j) for j in jobs]):.3f} of {len(jobs)}, at most {most:.3f}")


if __name__ == '__main__':
    if len(sys.argv) not in (3, 4):
        raise SystemExit(__doc__)
    with open(sys.argv[1], 'rb') as f:
        Day(tomllib.load(f), sys.argv[2], sys.argv[3] if len(sys.argv) > 3 else None).report()
