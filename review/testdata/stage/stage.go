// Package stage runs controllers of this project as separate processes on loopback, for the cases of
// the second review. The key-value store, the cloud and the workers are the project's own emulation
// (internal/fake). A case's program starts a Stage, plays users, and decides whether a rule held.
package stage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// limit is how long a case may take. The review allows 120 s.
const limit = 116 * time.Second

// Options describe a deployment.
type Options struct {
	Fake  fake.Options
	State config.StateLimits
	MemMB float64
	YARN  string // settings of the YARN interface without its addresses; empty: the interface is off
}

// Stage is a running deployment.
type Stage struct {
	Cluster *fake.Cluster
	Bind    []string // addresses of the controllers for users and workers
	YARN    []string // addresses of the YARN interface
	REST    []string // addresses of the YARN interface's REST server

	ctx     context.Context
	cancel  context.CancelFunc
	dir     string // temporary: settings and logs
	record  *os.File
	began   time.Time
	run     []string // the deploy file's command
	yarnOn  bool
	mu      sync.Mutex
	procs   []*exec.Cmd       // by controller; nil: not running
	bridges map[string]string // loopback address of a worker, by its address in the emulation
	stopped map[string]time.Time
	deleted map[string]bool // machines whose deletion the cloud has confirmed
	done    bool
}

// Trouble reports whether the case's disruption takes place: it does unless TROUBLE is 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Start starts a deployment. recordPath is where the record goes.
func Start(recordPath string, options Options) (*Stage, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "umberdeal-review-")
	if err != nil {
		return nil, err
	}
	s := &Stage{dir: dir, record: record, began: time.Now(), bridges: map[string]string{}, stopped: map[string]time.Time{}, deleted: map[string]bool{}, yarnOn: options.YARN != ""}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			s.Exit(Failed, "interrupted")
		case <-time.After(limit):
			s.Exit(Failed, "the case took too long")
		}
	}()
	s.Note("trouble: %v", Trouble())
	if s.run, err = deployCommand(); err != nil {
		return nil, err
	}
	options.Fake.ExternalNodes = true
	s.Cluster = fake.New(options.Fake)
	if err := s.startNodes(options); err != nil {
		s.Exit(Failed, err.Error())
	}
	go s.Cluster.LearnJobs(s.ctx)
	return s, nil
}

// deployCommand returns the start command of the deploy file.
func deployCommand() ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile("deploy/service.toml", &deploy); err != nil {
		return nil, err
	}
	if deploy.Run == "" {
		return nil, errors.New("deploy/service.toml has no run")
	}
	return strings.Fields(deploy.Run), nil
}

// Note adds a line to the record.
func (s *Stage) Note(format string, args ...any) {
	line := fmt.Sprintf("%7.2f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// Since returns the time since the start.
func (s *Stage) Since() time.Duration { return time.Since(s.began) }

// Exit ends all processes, and this one with the given status.
func (s *Stage) Exit(status int, why string) {
	s.mu.Lock()
	if s.done {
		s.mu.Unlock()
		select {} // another goroutine exits
	}
	s.done = true
	s.mu.Unlock()
	for _, violation := range s.violations() {
		s.Note("the emulation's own check: %s", violation)
	}
	s.Note("exit %d: %s", status, why)
	s.cancel()
	for i := range s.procs {
		s.Kill(i)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
	os.Exit(status)
}

func (s *Stage) violations() []string {
	if s.Cluster == nil {
		return nil
	}
	return s.Cluster.Violations()
}

// Ports for the controllers and services: below those that the system gives to outgoing connections,
// which could otherwise take a port between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 31000
)

// freeAddr returns an unused loopback address.
func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port was found")
}

// startNodes writes the settings of all controllers, attaches the emulation and starts them.
func (s *Stage) startNodes(options Options) error {
	names := s.Cluster.Nodes()
	n := len(names)
	addrs := make([][]string, n) // bind, mesh, state, cloud, YARN, REST
	for i := range n {
		for range 6 {
			addr, err := freeAddr()
			if err != nil {
				return err
			}
			addrs[i] = append(addrs[i], addr)
		}
	}
	s.procs = make([]*exec.Cmd, n)
	for i, name := range names {
		a := addrs[i]
		cfg := *s.Cluster.Settings
		cfg.Node, cfg.Zone, cfg.Peers = name, fake.Zones[i%2], nil
		cfg.Bind, cfg.PeerListen, cfg.Services.State, cfg.Services.Cloud = a[0], a[1], a[2], a[3]
		if options.State.RPS > 0 {
			cfg.Cluster.State = options.State
		}
		if options.MemMB > 0 {
			cfg.Cluster.Limits.MemMB = options.MemMB
		}
		for k := range n {
			if k != i {
				cfg.Peers = append(cfg.Peers, config.Peer{Name: names[k], Zone: fake.Zones[k%2], Addr: addrs[k][1]})
			}
		}
		if err := s.writeSettings(i, &cfg, options.YARN, a[4], a[5]); err != nil {
			return err
		}
		if err := s.attach(name, a); err != nil {
			return err
		}
		s.Bind, s.YARN, s.REST = append(s.Bind, a[0]), append(s.YARN, a[4]), append(s.REST, a[5])
	}
	for i := range names {
		if err := s.StartNode(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stage) settingsPath(i int, suffix string) string {
	return filepath.Join(s.dir, fmt.Sprintf("node-%d%s.toml", i, suffix))
}

func (s *Stage) writeSettings(i int, cfg *config.Settings, yarn, rpc, rest string) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(cfg); err != nil {
		return err
	}
	if err := os.WriteFile(s.settingsPath(i, ""), text.Bytes(), 0o600); err != nil {
		return err
	}
	if yarn == "" {
		return nil
	}
	return os.WriteFile(s.settingsPath(i, "-yarn"), []byte(fmt.Sprintf("listen = %q\nrest = %q\n%s", rpc, rest, yarn)), 0o600)
}

// attach connects a controller's addresses with the emulation.
func (s *Stage) attach(name string, a []string) error {
	dial := s.Cluster.Network.Dial(name)
	state, err := net.Listen("tcp", a[2])
	if err != nil {
		return err
	}
	go fake.Bridge(s.ctx, state, func() (net.Conn, error) { return dial(s.ctx, "tcp", s.Cluster.Settings.Services.State) })
	cloud, err := net.Listen("tcp", a[3])
	if err != nil {
		return err
	}
	cloudClient := &http.Client{Transport: &http.Transport{DialContext: dial}}
	go s.serveHTTP(cloud, func(w http.ResponseWriter, r *http.Request) {
		var request []byte
		keep := func(body []byte) []byte { request = body; return body }
		s.relay(w, r, cloudClient, s.Cluster.Settings.Services.Cloud, keep, func(answer []byte) []byte {
			if r.URL.Path == "/machines/delete" {
				s.recordDeletion(request)
			}
			return s.localMachines(answer)
		})
	})
	inside, err := s.Cluster.Network.Listen("tcp", name+":80")
	if err != nil {
		return err
	}
	nodeClient := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	go s.serveHTTP(inside, func(w http.ResponseWriter, r *http.Request) {
		var rewrite func([]byte) []byte
		if r.URL.Path == wire.PathHeartbeat {
			rewrite = s.localReport
		}
		s.relay(w, r, nodeClient, a[0], rewrite, nil)
	})
	return nil
}

func (s *Stage) serveHTTP(l net.Listener, handler http.HandlerFunc) {
	srv := &http.Server{Handler: handler}
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	_ = srv.Serve(l) // until the case ends
}

// relay sends a request on to another address, and its answer back. The bodies may be rewritten.
// Without an answer the connection is closed.
func (s *Stage) relay(w http.ResponseWriter, r *http.Request, client *http.Client, to string, request, answer func([]byte) []byte) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if request != nil {
		body = request(body)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = r.Header.Clone()
	resp, err := client.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if answer != nil && resp.StatusCode == http.StatusOK {
		text = answer(text)
	}
	for _, name := range []string{"Content-Type", "Retry-After", "Connection"} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(text)
}

// localReport replaces the worker's address in a report with one on loopback.
func (s *Stage) localReport(body []byte) []byte {
	var report wire.Heartbeat
	if wire.Unmarshal(body, &report) != nil {
		return body
	}
	report.Addr = s.bridge(report.Addr)
	out, err := wire.Marshal(report)
	if err != nil {
		return body
	}
	return out
}

// deadListedRunning is how long the cloud lists a dead machine as running.
const deadListedRunning = 30 * time.Second

// StopMachine stops a machine with all that is on it.
func (s *Stage) StopMachine(name string) {
	s.mu.Lock()
	s.stopped[name] = time.Now()
	s.mu.Unlock()
	s.Cluster.KillMachine(name)
	s.Note("machine %s stops with all that is on it", name)
}

func (s *Stage) recordDeletion(request []byte) {
	var names wire.Names
	if wire.Unmarshal(request, &names) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names.Machines {
		s.deleted[name] = true
	}
}

// Deleted reports whether the cloud has confirmed a machine's deletion.
func (s *Stage) Deleted(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deleted[name]
}

// listedState returns the state of a listed machine: a stopped one is listed as running for a while.
func (s *Stage) listedState(m *wire.ListedMachine) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.stopped[m.Name]; ok && time.Since(at) < deadListedRunning {
		return wire.MachineRunning
	}
	return m.State
}

// localMachines replaces the workers' addresses in the cloud's list.
func (s *Stage) localMachines(body []byte) []byte {
	var list wire.MachineList
	if wire.Unmarshal(body, &list) != nil || len(list.Machines) == 0 {
		return body
	}
	for i := range list.Machines {
		list.Machines[i].Addr = s.bridge(list.Machines[i].Addr)
		list.Machines[i].State = s.listedState(&list.Machines[i])
	}
	out, err := wire.Marshal(list)
	if err != nil {
		return body
	}
	return out
}

// bridge returns the loopback address at which a worker of the emulation is reached.
func (s *Stage) bridge(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if local := s.bridges[addr]; local != "" {
		return local
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	dial := s.Cluster.Network.Dial(s.Cluster.Nodes()[0])
	go fake.Bridge(s.ctx, l, func() (net.Conn, error) { return dial(s.ctx, "tcp", addr) })
	s.bridges[addr] = l.Addr().String()
	return s.bridges[addr]
}

// StartNode starts the i-th controller.
func (s *Stage) StartNode(i int) error {
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	args := append(append([]string{}, s.run[1:]...), s.settingsPath(i, ""))
	if s.yarnOn {
		args = append(args, "--yarn", s.settingsPath(i, "-yarn"))
	}
	cmd := exec.Command(s.run[0], args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.procs[i] = cmd
	s.Note("node %d started", i)
	return nil
}

// Kill ends the i-th controller without a signal that it could handle.
func (s *Stage) Kill(i int) {
	if p := s.procs[i]; p != nil {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
		s.procs[i] = nil
		s.Note("node %d killed", i)
	}
}

// Pause makes the i-th controller stand still.
func (s *Stage) Pause(i int) {
	_ = s.procs[i].Process.Signal(syscall.SIGSTOP)
	s.Note("node %d stands still", i)
}

// Resume makes the i-th controller go on.
func (s *Stage) Resume(i int) {
	_ = s.procs[i].Process.Signal(syscall.SIGCONT)
	s.Note("node %d goes on", i)
}

// AwaitReady waits until all controllers are ready, or exits.
func (s *Stage) AwaitReady(within time.Duration) {
	end := time.Now().Add(within)
	for _, addr := range s.Bind {
		for {
			resp, err := http.Get("http://" + addr + wire.PathReady)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.Exit(Failed, "the controllers did not become ready")
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	s.Note("all controllers are ready")
}

// Check exits with Failed if err is not nil.
func (s *Stage) Check(what string, err error) {
	if err != nil {
		s.Exit(Failed, what+": "+err.Error())
	}
}
