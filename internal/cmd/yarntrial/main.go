// Command yarntrial runs real controller processes on this machine's loopback with emulated
// services (key-value store, cloud, workers) and application masters that speak YARN's API. It
// either kills processes again and again and counts what is left behind (--kills), or measures
// heartbeats (--apps, --containers).
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/client"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

type cli struct {
	Program    string        `required:"" help:"The umberdeal program."`
	Dir        string        `required:"" help:"Where settings and logs go."`
	Machines   int           `default:"30" help:"Machines up at the start."`
	Apps       int           `default:"6" help:"Masters at once."`
	Containers int           `default:"8" help:"Containers that each keeps."`
	Kills      int           `default:"0" help:"Kill a node or a master that often."`
	For        time.Duration `default:"30s" help:"How long heartbeats are measured, without --kills."`
	Warm       time.Duration `default:"60s" help:"Until then masters come up."`
	Base       int           `default:"19000" help:"First port."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("YARN's front end among emulated services, on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k.FatalIfErrorf(run(ctx, c))
}

const nodes = 3

// trial is what runs.
type trial struct {
	cli
	w     *fake.Cluster
	procs [nodes]*exec.Cmd
	cfg   client.Config
	ids   sync.Map // of applications
	beats beats
	gone  atomic.Int64 // masters that went away without a word
}

// beats collects how long heartbeats took.
type beats struct {
	mu sync.Mutex
	d  []time.Duration
}

func (b *beats) add(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.d = append(b.d, d)
}

func (b *beats) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.d) == 0 {
		return "none"
	}
	slices.Sort(b.d)
	at := func(q float64) time.Duration { return b.d[int(q*float64(len(b.d)-1))].Round(100 * time.Microsecond) }
	return fmt.Sprintf("%d, p50 %v, p99 %v, max %v", len(b.d), at(0.5), at(0.99), at(1))
}

func (t *trial) addr(node, what int) string { return fmt.Sprintf("127.0.0.1:%d", t.Base+10*node+what) }

func run(ctx context.Context, c cli) error {
	t := &trial{cli: c}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	types := fake.DefaultType
	types.CPUs, types.MemoryGB = 64, 256
	t.w = fake.New(fake.Options{Nodes: nodes, Machines: c.Machines, Capacity: c.Machines, ExternalNodes: true, Sockets: 2600, HeartbeatIntervalS: 4, LeaseS: 22,
		Types: []wire.MachineType{types}})
	for i := range nodes {
		// Addresses of its own, since the checks know a node by the connection that its requests come from.
		state, cloud := t.addr(i, 5), t.addr(i, 6)
		if err := t.settings(i, state, cloud); err != nil {
			return err
		}
		if err := t.w.AttachProcess(ctx, fmt.Sprintf("n-%d", i), t.addr(i, 0), state, cloud); err != nil {
			return err
		}
		t.cfg.Addrs = append(t.cfg.Addrs, t.addr(i, 2))
	}
	go t.w.LearnJobs(ctx)
	for i := range nodes {
		if err := t.start(i); err != nil {
			return err
		}
		defer t.kill(i)
	}
	t.cfg.Dial, t.cfg.User = new(net.Dialer).DialContext, "trial"
	if c.Kills > 0 {
		return t.killProcesses(ctx)
	}
	return t.measure(ctx)
}

func (t *trial) settings(i int, state, cloud string) error {
	s := *t.w.Settings
	s.Node, s.Zone, s.Peers = fmt.Sprintf("n-%d", i), fake.Zones[i%2], nil
	s.Bind, s.PeerListen = t.addr(i, 0), t.addr(i, 1)
	s.Services.State, s.Services.Cloud = state, cloud
	s.Cluster.State = config.StateLimits{RPS: 250, WriteRPS: 90, ValueKB: 16, TxnOps: 12}
	s.Cluster.Limits.MemMB = 300
	for k := range nodes {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Name: fmt.Sprintf("n-%d", k), Zone: fake.Zones[k%2], Addr: t.addr(k, 1)})
		}
	}
	f, err := os.Create(filepath.Join(t.Dir, s.Node+".toml"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // a node that finds half of it refuses to start
	if err := toml.NewEncoder(f).Encode(s); err != nil {
		return err
	}
	estimate := 20.0
	if t.Kills == 0 {
		estimate = 300
	}
	y := fmt.Sprintf("listen = %q\nrest = %q\nmaster_s = 30.0\nstart_s = 30.0\nestimate_s = %.1f\nmax_calls = 512\nmax_connections = 1200\n[[queues]]\npath = \"root.core\"\nteam = \"core\"\n",
		t.addr(i, 2), t.addr(i, 3), estimate)
	return os.WriteFile(filepath.Join(t.Dir, s.Node+"-yarn.toml"), []byte(y), 0o644)
}

func (t *trial) start(i int) error {
	name := fmt.Sprintf("n-%d", i)
	log, err := os.OpenFile(filepath.Join(t.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // nothing is written here: the process has its own copy
	cmd := exec.Command(t.Program, "--config", filepath.Join(t.Dir, name+".toml"), "--yarn", filepath.Join(t.Dir, name+"-yarn.toml"))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	t.procs[i] = cmd
	return nil
}

// kill ends a node of this trial as kill -9 does.
func (t *trial) kill(i int) {
	if p := t.procs[i]; p != nil {
		_ = p.Process.Kill() // it may have ended by itself, which the log tells
		_ = p.Wait()
		t.procs[i] = nil
	}
}

var command = &pb.ContainerLaunchContextProto{Command: []string{"work"}}

// master runs one application until ctx ends; it then finishes it, or is gone
// without a word if die says so. Its heartbeats come every so often.
func (t *trial) master(ctx context.Context, n int, every time.Duration, die func() bool) error {
	c := client.New(t.cfg)
	defer c.Close()
	long, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Minute)
	defer cancel()
	id, _, err := c.NewApplication(long)
	if err != nil {
		return err
	}
	t.ids.Store(id.GetId(), id)
	if err := c.Submit(long, &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), UnmanagedAm: proto.Bool(true)}); err != nil {
		return err
	}
	r, err := c.Report(long, id)
	if err != nil {
		return err
	}
	m := client.NewApplicationMaster(t.cfg, r.GetAmRmToken())
	defer m.Close()
	if _, err := m.Register(long); err != nil {
		return err
	}
	a := client.ContainerRequest{Priority: 1, ResourceName: "*", RelaxLocality: true, MemoryMB: 2048, VCores: 1}
	m.Request(a, n)
	for ctx.Err() == nil {
		begun := time.Now()
		update, err := m.Heartbeat(long)
		if err != nil {
			return err
		}
		t.beats.add(time.Since(begun))
		if len(update.Allocated) > 0 {
			if _, err := m.Start(long, command, update.Allocated...); err != nil {
				return err
			}
		}
		if done := len(update.Completed); done > 0 {
			m.Request(a, m.Pending()+done)
		}
		if die() {
			t.gone.Add(1)
			return nil
		}
		time.Sleep(every*9/10 + rand.N(every/5))
	}
	return m.Finish(long, pb.FinalApplicationStatusProto_APP_SUCCEEDED, "over")
}

// killProcesses kills nodes and masters in turn, and then wants nothing to be left behind.
func (t *trial) killProcesses(ctx context.Context) error {
	mastersCtx, stop := context.WithCancel(ctx)
	defer stop()
	die := make(chan struct{}, 1) // whichever master receives is gone without a word
	var masters sync.WaitGroup
	var failures sync.Map
	for i := range t.Apps {
		masters.Go(func() {
			if err := t.runMasters(mastersCtx, die); err != nil {
				failures.Store(i, err)
			}
		})
	}
	time.Sleep(8 * time.Second)
	for i := range t.Kills {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := t.killOne(i, die); err != nil {
			return err
		}
		time.Sleep(300*time.Millisecond + rand.N(700*time.Millisecond))
	}
	stop()
	masters.Wait()
	time.Sleep(75 * time.Second) // two expiries and a worker's lease
	return t.reportRemains(&failures)
}

// runMasters runs one application after the other until ctx ends or one fails.
func (t *trial) runMasters(ctx context.Context, die <-chan struct{}) error {
	for ctx.Err() == nil {
		err := t.master(ctx, t.Containers, 500*time.Millisecond, func() bool {
			select {
			case <-die:
				return true
			default:
				return false
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// killOne kills a node and starts it again or, each fourth time, kills a master.
func (t *trial) killOne(i int, die chan<- struct{}) error {
	if i%4 == 3 {
		select {
		case die <- struct{}{}:
		default: // the one before is still to die
		}
		return nil
	}
	node := rand.IntN(nodes)
	t.kill(node)
	time.Sleep(rand.N(400 * time.Millisecond))
	return t.start(node)
}

// reportRemains prints what the trial came to, and fails if anything is left behind, ran
// more than once or broke a rule.
func (t *trial) reportRemains(failures *sync.Map) error {
	left := 0
	for _, key := range t.w.Store.Keys("") {
		if strings.HasPrefix(key, "w/j/") || strings.HasPrefix(key, "w/y/application") || strings.HasPrefix(key, "yx/") {
			left++
		}
	}
	failed := 0
	failures.Range(func(_, err any) bool { fmt.Println("master:", err); failed++; return true })
	apps := 0
	t.ids.Range(func(_, _ any) bool { apps++; return true })
	fmt.Printf("kills %d, masters gone without a word %d, applications %d, containers started %d, run more than once %d, still on machines %d, records left %d, rules broken %d, masters failed %d, heartbeats %v\n",
		t.Kills, t.gone.Load(), apps, t.w.Started(), t.w.RanMoreThanOnce(), t.w.Running(), left, len(t.w.Violations()), failed, &t.beats)
	for _, violation := range t.w.Violations() {
		fmt.Println("rule broken:", violation)
	}
	if t.w.RanMoreThanOnce()+t.w.Running()+left+len(t.w.Violations())+failed > 0 {
		return errors.New("something is left, ran twice or failed")
	}
	return nil
}

// measure lets masters heartbeat once a second and says how long it takes, and
// what the nodes use.
func (t *trial) measure(ctx context.Context) error {
	mctx, stop := context.WithTimeout(ctx, t.For+t.Warm)
	defer stop()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range t.Apps {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := t.master(mctx, t.Containers, time.Second, func() bool { return false }); err != nil {
				if failed.Add(1) == 1 {
					fmt.Println("master:", err)
				}
			}
		}()
	}
	begun, full := time.Now(), time.Duration(0)
	for time.Since(begun) < t.Warm {
		if time.Sleep(100 * time.Millisecond); full == 0 && t.w.Running() >= t.Apps*t.Containers {
			full = time.Since(begun)
		}
	}
	t.beats.mu.Lock()
	t.beats.d = nil
	t.beats.mu.Unlock()
	before, began := t.w.Started(), time.Now()
	cpu := t.used()
	var polls beats
	t.poll(mctx, &polls)
	took := time.Since(began).Seconds()
	running := t.w.Running()
	fmt.Printf("all running after %.1f s (0: not yet)\n", full.Seconds())
	fmt.Printf("machines %d, applications %d, containers running %d, allocated %.1f/s, heartbeats %v; native polls %v; workers' leases that ended %d\n", t.Machines, t.Apps, running, float64(t.w.Started()-before)/took, &t.beats, &polls, t.w.ExpiredLeases())
	for i, u := range t.used() {
		fmt.Printf("n-%d: %.3f of a core, %d MB\n", i, (u.cpu-cpu[i].cpu)/took, u.kb/1024)
	}
	stop()
	wg.Wait()
	fmt.Printf("masters failed %d\n", failed.Load())
	return nil
}

// poll asks for a native job ten times a second for as long as is measured: native
// users must not be held up by masters.
func (t *trial) poll(ctx context.Context, took *beats) {
	hc := call.NewClient(call.Dialer(), 4, 4)
	for end := time.Now().Add(t.For); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		begun := time.Now()
		pctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, _, err := call.Do(pctx, hc, http.MethodGet, "http://"+t.addr(rand.IntN(nodes), 0)+wire.PathJobs+"/wk-000001", nil, wire.MaxBody)
		cancel()
		if err != nil {
			fmt.Println("native poll:", err)
			continue
		}
		took.add(time.Since(begun))
	}
}

type usage struct {
	cpu float64 // seconds
	kb  int
}

// used reads what the nodes have used so far.
func (t *trial) used() (out [nodes]usage) {
	for i, p := range t.procs {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if err != nil {
			continue
		}
		f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		var user, sys, pages int
		_, _ = fmt.Sscan(f[11]+" "+f[12]+" "+f[21], &user, &sys, &pages) // as the kernel writes them
		out[i] = usage{cpu: float64(user+sys) / 100, kb: pages * os.Getpagesize() / 1024}
	}
	return out
}
