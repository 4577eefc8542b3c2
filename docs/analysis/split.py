#!/usr/bin/python3
"""Where the time of a class's late jobs went, from a day's log.

    split.py DAY.log CLASS wait|done SECONDS
    split.py DAY.log CLASS deadline TIMES

DAY.log is the printed output of `fleetbench run SITE DAY --log debug`. The time
from acceptance to the first start (wait) or to the end of the last task is
split for each late job's slowest task, and averaged over the jobs.
"""
import re
import sys
from collections import defaultdict
from datetime import datetime

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
LINE = re.compile(r'\s*([\d.]+) (\S+) time=(\S+) level=\S+ (.*)')
# Messages that had another name in logs of earlier versions.
RENAMED = {
    'job': 'job accepted',
    'job runs': 'job started',
    'job done': 'job completed',
    "job's tasks done": 'job tasks completed',
    'launch': 'task launch sent',
    'running': 'task started',
    'exited': 'task exited',
    'recalled': 'unlaunched task revoked',
    'stopping': 'stopping task',
    'rental refused': 'scale out refused',
}
ACTS = {'placed', 'task launch sent', 'task started', 'task exited', 'job accepted', 'job started', 'job completed', 'job tasks completed', 'stopping task',
        'scale out refused'}


def stamp(text):
    return datetime.fromisoformat(text.replace('Z', '+00:00')).timestamp()


def overlap(a, b, gaps):
    return sum(max(0.0, min(b, y) - max(a, x)) for x, y in gaps)


def main(path, cls, kind, limit):
    jobs, events, gaps, last = {}, defaultdict(list), [], 0.0
    for line in open(path, errors='replace'):
        m = LINE.match(line)
        if not m:
            continue
        t, f = float(m[1]), {k: v.strip('"') for k, v in FIELD.findall(m[4])}
        msg = RENAMED.get(f.get('msg'), f.get('msg'))
        if msg == 'elected':
            gaps.append((last, t))
        if msg in ACTS:
            last = t
        if msg == 'job accepted' and f['id'] not in jobs:
            late = stamp(m[3]) - stamp(f['at'])
            jobs[f['id']] = dict(cls=f['class'], at=t - late if 0 <= late < 90 else t, n=int(f['tasks']), deadline=float(f['deadline']))
        elif msg == 'job cancelled':
            jobs.pop(f['id'], None)
        elif msg in ('job started', 'job completed', 'job tasks completed') and f['id'] in jobs:
            jobs[f['id']].setdefault(msg, t)
        elif msg in ('placed', 'task lost', 'unlaunched task revoked'):
            events[f['job'] + '/' + f['task']].append((t, msg, f))
        elif msg in ('task launch sent', 'task started', 'task exited'):
            events[f['task']].append((t, msg, f))
    total, late, counted = defaultdict(float), 0, 0
    for jid, j in jobs.items():
        if j['cls'] != cls:
            continue
        end = j.get('job started' if kind == 'wait' else 'job tasks completed')
        most = j['deadline'] * limit if kind == 'deadline' else limit
        if end is None:
            continue
        counted += 1
        if end - j['at'] <= most:
            continue
        late += 1

        def lastof(i):
            return max((t for t, msg, _ in events[f'{jid}/{i}'] if t <= end and msg in ('task started', 'task exited')), default=0)

        slowest = f'{jid}/{max(range(j["n"]), key=lastof)}'
        state, since = 'room', j['at']

        def close(t, into=None):
            nonlocal since
            t = min(t, end)
            if t > since:
                away = overlap(since, t, gaps) if state != 'run' else 0.0
                total['no leader'] += away
                total[into or state] += t - since - away
                since = t

        for t, msg, f in sorted(events[slowest], key=lambda e: e[0]):
            if t > end:
                break
            if msg == 'task started' and state == 'run':
                continue
            kept = msg == 'task exited' and (f['why'] == 'done' or f['saved'] == 'true')
            close(t, None if state != 'run' or kept else 'repeated work')
            state = {'placed': 'record and report', 'task launch sent': 'image', 'task started': 'run', 'unlaunched task revoked': 'room',
                     'task exited': 'room', 'task lost': 'room'}[msg]
        close(end)
    print(f'{cls} {kind} {limit:g}: {late} late of {counted}')
    for k, v in sorted(total.items(), key=lambda x: -x[1]):
        print(f'  {k:18s} {v / max(1, late):7.1f} s a job')


if __name__ == '__main__':
    if len(sys.argv) != 5 or sys.argv[3] not in ('wait', 'done', 'deadline'):
        raise SystemExit(__doc__)
    main(sys.argv[1], sys.argv[2], sys.argv[3], float(sys.argv[4]))
