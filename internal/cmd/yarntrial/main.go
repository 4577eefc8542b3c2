// Command yarntrial runs controller processes on this machine's loopback with emulated services
// (key-value store, cloud, workers) and application masters that use YARN's API. With --kills it
// kills processes repeatedly and then checks that no application, container or record is left.
// Without --kills it measures the latency of heartbeats and the controllers' resource usage.
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

const controllers = 3

// trial is the state of a run.
type trial struct {
	cli
	cluster    *fake.Cluster
	procs      [controllers]*exec.Cmd // nil: not running
	cfg        client.Config
	ids        sync.Map // application ids that were given out
	heartbeats latencies
	abandoned  atomic.Int64 // masters that ended without finishing their application
}

// latencies collects the durations of requests. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	durations []time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations = append(l.durations, d)
}

// String returns the count, the 50th and 99th percentile and the maximum of the durations.
func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.durations) == 0 {
		return "none"
	}
	slices.Sort(l.durations)
	quantile := func(q float64) time.Duration {
		return l.durations[int(q*float64(len(l.durations)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%d, p50 %v, p99 %v, max %v", len(l.durations), quantile(0.5), quantile(0.99), quantile(1))
}

// Offsets of a controller's ports from its first one.
const (
	bindPort = iota
	peerPort
	yarnPort
	yarnRESTPort
	_
	statePort
	cloudPort
)

// addr returns the loopback address for one of a controller's ports.
func (t *trial) addr(i, portOffset int) string {
	return fmt.Sprintf("127.0.0.1:%d", t.Base+10*i+portOffset)
}

// run starts the services and controllers, and kills processes or measures.
func run(ctx context.Context, c cli) error {
	t := &trial{cli: c}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	machineType := fake.DefaultType
	machineType.CPUs, machineType.MemoryGB = 64, 256
	t.cluster = fake.New(fake.Options{Nodes: controllers, Machines: c.Machines, Capacity: c.Machines, ExternalNodes: true, Sockets: 2600, HeartbeatIntervalS: 4, LeaseS: 22,
		Types: []wire.MachineType{machineType}})
	for i := range controllers {
		// Each controller gets its own addresses of the services, because the checker identifies
		// a controller by the connection of its requests.
		state, cloud := t.addr(i, statePort), t.addr(i, cloudPort)
		if err := t.writeSettings(i, state, cloud); err != nil {
			return err
		}
		if err := t.cluster.AttachProcess(ctx, fmt.Sprintf("n-%d", i), t.addr(i, bindPort), state, cloud); err != nil {
			return err
		}
		t.cfg.Addrs = append(t.cfg.Addrs, t.addr(i, yarnPort))
	}
	go t.cluster.LearnJobs(ctx)
	for i := range controllers {
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

// writeSettings writes the files with the settings of the i-th controller and its YARN frontend.
func (t *trial) writeSettings(i int, state, cloud string) error {
	s := *t.cluster.Settings
	s.Node, s.Zone, s.Peers = fmt.Sprintf("n-%d", i), fake.Zones[i%2], nil
	s.Bind, s.PeerListen = t.addr(i, bindPort), t.addr(i, peerPort)
	s.Services.State, s.Services.Cloud = state, cloud
	s.Cluster.State = config.StateLimits{RPS: 250, WriteRPS: 90, ValueKB: 16, TxnOps: 12}
	s.Cluster.Limits.MemMB = 300
	for k := range controllers {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Name: fmt.Sprintf("n-%d", k), Zone: fake.Zones[k%2], Addr: t.addr(k, peerPort)})
		}
	}
	f, err := os.Create(filepath.Join(t.Dir, s.Node+".toml"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // a controller refuses to start with a truncated file
	if err := toml.NewEncoder(f).Encode(s); err != nil {
		return err
	}
	estimateS := 20.0
	if t.Kills == 0 {
		estimateS = 300
	}
	yarnSettings := fmt.Sprintf("listen = %q\nrest = %q\nmaster_s = 30.0\nstart_s = 30.0\nestimate_s = %.1f\nmax_calls = 512\nmax_connections = 1200\n[[queues]]\npath = \"root.core\"\nteam = \"core\"\n",
		t.addr(i, yarnPort), t.addr(i, yarnRESTPort), estimateS)
	return os.WriteFile(filepath.Join(t.Dir, s.Node+"-yarn.toml"), []byte(yarnSettings), 0o644)
}

// start starts the process of the i-th controller, which appends its log to a file.
func (t *trial) start(i int) error {
	name := fmt.Sprintf("n-%d", i)
	log, err := os.OpenFile(filepath.Join(t.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // this process writes nothing: the child has its own descriptor
	cmd := exec.Command(t.Program, "--config", filepath.Join(t.Dir, name+".toml"), "--yarn", filepath.Join(t.Dir, name+"-yarn.toml"))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	t.procs[i] = cmd
	return nil
}

// kill ends the process of the i-th controller with SIGKILL, if there is one.
func (t *trial) kill(i int) {
	if p := t.procs[i]; p != nil {
		_ = p.Process.Kill() // fails only if the process has ended by itself; its log says why
		_ = p.Wait()
		t.procs[i] = nil
	}
}

// command is what every container runs; workers only simulate it.
var command = &pb.ContainerLaunchContextProto{Command: []string{"work"}}

// runMaster runs an application with the given number of containers until ctx ends, and then
// finishes it. If abandon reports true, it returns without finishing the application. Intervals
// between heartbeats vary by 10 % around interval.
func (t *trial) runMaster(ctx context.Context, containers int, interval time.Duration, abandon func() bool) error {
	c := client.New(t.cfg)
	defer c.Close()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Minute)
	defer cancel()
	id, _, err := c.NewApplication(callCtx)
	if err != nil {
		return err
	}
	t.ids.Store(id.GetId(), id)
	if err := c.Submit(callCtx, &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), UnmanagedAm: proto.Bool(true)}); err != nil {
		return err
	}
	report, err := c.Report(callCtx, id)
	if err != nil {
		return err
	}
	master := client.NewApplicationMaster(t.cfg, report.GetAmRmToken())
	defer master.Close()
	if _, err := master.Register(callCtx); err != nil {
		return err
	}
	request := client.ContainerRequest{Priority: 1, ResourceName: "*", RelaxLocality: true, MemoryMB: 2048, VCores: 1}
	master.Request(request, containers)
	for ctx.Err() == nil {
		begun := time.Now()
		update, err := master.Heartbeat(callCtx)
		if err != nil {
			return err
		}
		t.heartbeats.add(time.Since(begun))
		if len(update.Allocated) > 0 {
			if _, err := master.Start(callCtx, command, update.Allocated...); err != nil {
				return err
			}
		}
		if done := len(update.Completed); done > 0 {
			master.Request(request, master.Pending()+done)
		}
		if abandon() {
			t.abandoned.Add(1)
			return nil
		}
		time.Sleep(interval*9/10 + rand.N(interval/5))
	}
	return master.Finish(callCtx, pb.FinalApplicationStatusProto_APP_SUCCEEDED, "over")
}

// killProcesses kills controllers and masters in turn, ends all applications and then checks that
// nothing is left.
func (t *trial) killProcesses(ctx context.Context) error {
	mastersCtx, stop := context.WithCancel(ctx)
	defer stop()
	abandon := make(chan struct{}, 1) // the master that receives abandons its application
	var masters sync.WaitGroup
	var failures sync.Map
	for i := range t.Apps {
		masters.Go(func() {
			if err := t.runMasters(mastersCtx, abandon); err != nil {
				failures.Store(i, err)
			}
		})
	}
	time.Sleep(8 * time.Second)
	for i := range t.Kills {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := t.killOne(i, abandon); err != nil {
			return err
		}
		time.Sleep(300*time.Millisecond + rand.N(700*time.Millisecond))
	}
	stop()
	masters.Wait()
	time.Sleep(75 * time.Second) // two expiries of a master plus one lease of a worker
	return t.reportRemains(&failures)
}

// runMasters runs one application after another until ctx ends or one fails. A value in abandon
// makes its receiver abandon the application.
func (t *trial) runMasters(ctx context.Context, abandon <-chan struct{}) error {
	for ctx.Err() == nil {
		err := t.runMaster(ctx, t.Containers, 500*time.Millisecond, func() bool {
			select {
			case <-abandon:
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

// killOne kills a random controller and starts it again or, each fourth time, makes a master
// abandon its application.
func (t *trial) killOne(i int, abandon chan<- struct{}) error {
	if i%4 == 3 {
		select {
		case abandon <- struct{}{}:
		default: // no master has received the previous value yet
		}
		return nil
	}
	victim := rand.IntN(controllers)
	t.kill(victim)
	time.Sleep(rand.N(400 * time.Millisecond))
	return t.start(victim)
}

// reportRemains prints the results of killProcesses. It returns an error if a record or container is
// left, a container ran more than once, a master failed or a rule of the protocol was violated.
func (t *trial) reportRemains(failures *sync.Map) error {
	left := 0
	for _, key := range t.cluster.Store.Keys("") {
		if strings.HasPrefix(key, "w/j/") || strings.HasPrefix(key, "w/y/application") || strings.HasPrefix(key, "yx/") {
			left++
		}
	}
	failed := 0
	failures.Range(func(_, err any) bool { fmt.Println("master:", err); failed++; return true })
	apps := 0
	t.ids.Range(func(_, _ any) bool { apps++; return true })
	fmt.Printf("kills %d, masters gone without a word %d, applications %d, containers started %d, run more than once %d, still on machines %d, records left %d, rules broken %d, masters failed %d, heartbeats %v\n",
		t.Kills, t.abandoned.Load(), apps, t.cluster.Started(), t.cluster.RanMoreThanOnce(), t.cluster.Running(), left, len(t.cluster.Violations()), failed, &t.heartbeats)
	for _, violation := range t.cluster.Violations() {
		fmt.Println("rule broken:", violation)
	}
	if t.cluster.RanMoreThanOnce()+t.cluster.Running()+left+len(t.cluster.Violations())+failed > 0 {
		return errors.New("something is left, ran twice or failed")
	}
	return nil
}

// measure runs masters that send a heartbeat each second. Once the warm-up is over, it measures the
// latency of heartbeats and native polls and the controllers' resource usage, and prints them.
func (t *trial) measure(ctx context.Context) error {
	mastersCtx, stop := context.WithTimeout(ctx, t.For+t.Warm)
	defer stop()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range t.Apps {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := t.runMaster(mastersCtx, t.Containers, time.Second, func() bool { return false }); err != nil {
				if failed.Add(1) == 1 {
					fmt.Println("master:", err)
				}
			}
		}()
	}
	begun, allRunningAfter := time.Now(), time.Duration(0)
	for time.Since(begun) < t.Warm {
		if time.Sleep(100 * time.Millisecond); allRunningAfter == 0 && t.cluster.Running() >= t.Apps*t.Containers {
			allRunningAfter = time.Since(begun)
		}
	}
	t.heartbeats.mu.Lock()
	t.heartbeats.durations = nil
	t.heartbeats.mu.Unlock()
	startedBefore, measuredSince := t.cluster.Started(), time.Now()
	usageBefore := t.resourceUsage()
	var polls latencies
	t.poll(mastersCtx, &polls)
	elapsedS := time.Since(measuredSince).Seconds()
	running := t.cluster.Running()
	fmt.Printf("all running after %.1f s (0: not yet)\n", allRunningAfter.Seconds())
	fmt.Printf("machines %d, applications %d, containers running %d, allocated %.1f/s, heartbeats %v; native polls %v; workers' leases that ended %d\n", t.Machines, t.Apps, running, float64(t.cluster.Started()-startedBefore)/elapsedS, &t.heartbeats, &polls, t.cluster.ExpiredLeases())
	for i, u := range t.resourceUsage() {
		fmt.Printf("n-%d: %.3f of a core, %d MB\n", i, (u.cpuSeconds-usageBefore[i].cpuSeconds)/elapsedS, u.memoryKB/1024)
	}
	stop()
	wg.Wait()
	fmt.Printf("masters failed %d\n", failed.Load())
	return nil
}

// poll queries a native job ten times a second for the time of the measurement, and records the
// latencies. It shows whether masters slow native users down.
func (t *trial) poll(ctx context.Context, polls *latencies) {
	httpClient := call.NewClient(call.Dialer(), 4, 4)
	for end := time.Now().Add(t.For); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		begun := time.Now()
		pollCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, _, err := call.Do(pollCtx, httpClient, http.MethodGet, "http://"+t.addr(rand.IntN(controllers), bindPort)+wire.PathJobs+"/wk-000001", nil, wire.MaxBody)
		cancel()
		if err != nil {
			fmt.Println("native poll:", err)
			continue
		}
		polls.add(time.Since(begun))
	}
}

// usage is the resource usage of a process.
type usage struct {
	cpuSeconds float64 // since its start
	memoryKB   int     // resident
}

// resourceUsage reads the usage of the controllers' processes from /proc. It leaves an unreadable one
// zero.
func (t *trial) resourceUsage() (out [controllers]usage) {
	for i, p := range t.procs {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		var userTicks, systemTicks, pages int
		_, _ = fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &userTicks, &systemTicks, &pages) // the kernel always writes numbers
		out[i] = usage{cpuSeconds: float64(userTicks+systemTicks) / 100, memoryKB: pages * os.Getpagesize() / 1024}
	}
	return out
}
