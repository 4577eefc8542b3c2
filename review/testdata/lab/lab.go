// Package lab runs the controllers of a small deployment as separate processes, with the run command
// of deploy/service.toml, among the project's emulated key-value store, cloud and workers (package
// fake), which each process reaches over loopback. The cases of the review use it.
package lab

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Lab is a running deployment.
type Lab struct {
	Cluster *fake.Cluster
	Dir     string // temporary folder with settings and logs

	record *os.File
	began  time.Time
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	run    []string // program and arguments of the run command
	nodes  []*node
	jobs   sync.Map // wire.Job by id: what users have uploaded for the workers of StartWorker
	gangs  gangs

	mu sync.Mutex // guards record and the nodes' processes
}

type node struct {
	settings *config.Settings
	file     string
	process  *exec.Cmd // nil: not running
}

// Trouble reports whether the case is to cause its disruption: not with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Open starts the emulated services and prepares the controllers' settings. adjust may change the
// settings of each controller. The case's record is written to the file record.
func Open(record string, options fake.Options, adjust func(s *config.Settings)) (*Lab, error) {
	l := &Lab{began: time.Now()}
	var err error
	if l.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if l.run, err = runCommand("deploy/service.toml"); err != nil {
		return nil, err
	}
	if l.Dir, err = os.MkdirTemp("", "umberdeal-review-"); err != nil {
		return nil, err
	}
	options.ExternalNodes = true
	l.Cluster = fake.New(options)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	ports, err := freePorts(4 * options.Nodes)
	if err != nil {
		return nil, err
	}
	for i := range options.Nodes {
		s := *l.Cluster.Settings
		s.Node, s.Zone, s.Peers = fmt.Sprintf("n-%d", i), fake.Zones[i%2], nil
		s.Bind, s.PeerListen = ports[4*i], ports[4*i+1]
		// Each controller gets addresses of its own for the services: the store knows by the
		// connection which controller a request comes from.
		s.Services.State, s.Services.Cloud = ports[4*i+2], ports[4*i+3]
		for k := range options.Nodes {
			if k != i {
				s.Peers = append(s.Peers, config.Peer{Name: fmt.Sprintf("n-%d", k), Zone: fake.Zones[k%2], Addr: ports[4*k+1]})
			}
		}
		if adjust != nil {
			adjust(&s)
		}
		n := &node{settings: &s, file: filepath.Join(l.Dir, s.Node+".toml")}
		l.nodes = append(l.nodes, n)
		if err := n.write(); err != nil {
			return nil, err
		}
		if err := l.Cluster.AttachProcess(l.ctx, s.Node, s.Bind, s.Services.State, s.Services.Cloud); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (n *node) write() error {
	f, err := os.Create(n.file)
	if err != nil {
		return err
	}
	if err := toml.NewEncoder(f).Encode(n.settings); err != nil {
		_ = f.Close() // the encoding error is the cause
		return err
	}
	return f.Close()
}

// runCommand returns the run command of the deploy file.
func runCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return nil, fmt.Errorf("%s has no run command", path)
	}
	return strings.Fields(string(match[1])), nil
}

// freePorts returns addresses on loopback that were free a moment ago.
func freePorts(n int) (addrs []string, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // the port is free again then
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// Log writes a line to the record and to standard output.
func (l *Lab) Log(format string, args ...any) {
	line := fmt.Sprintf("%7.2f s  ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Println(line)
	_, _ = fmt.Fprintln(l.record, line) // the exit status does not depend on the record
}

// Addr returns the address at which a controller serves users and workers.
func (l *Lab) Addr(i int) string { return l.nodes[i].settings.Bind }

// Start starts a controller's process.
func (l *Lab) Start(i int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.nodes[i]
	log, err := os.OpenFile(filepath.Join(l.Dir, n.settings.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	n.process = exec.Command(l.run[0], append(append([]string{}, l.run[1:]...), n.file)...)
	n.process.Stderr = log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.process.Start()
}

// StartAll starts all controllers and waits until each of them takes requests.
func (l *Lab) StartAll() error {
	for i := range l.nodes {
		if err := l.Start(i); err != nil {
			return err
		}
	}
	for i := range l.nodes {
		if err := l.awaitReady(i, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) awaitReady(i int, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if Ready(l.Addr(i)) {
			return nil
		}
	}
	return fmt.Errorf("controller %d is not ready within %v", i, within)
}

// Kill ends a controller's process without a signal that it could handle.
func (l *Lab) Kill(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.nodes[i].process; p != nil {
		_ = p.Process.Kill() // fails only if it has ended
		_ = p.Wait()
		l.nodes[i].process = nil
	}
}

// Signal sends a signal to a controller's process.
func (l *Lab) Signal(i int, s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.nodes[i].process; p != nil {
		_ = p.Process.Signal(s) // fails only if it has ended
	}
}

// Close ends all processes, removes the temporary folder and returns the status.
func (l *Lab) Close(status int) int {
	for i := range l.nodes {
		l.Kill(i)
	}
	if l.cancel != nil {
		l.cancel()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.Dir) // a left folder does no harm
	}
	l.Log("exit %d", status)
	_ = l.record.Close() // written line by line
	return status
}
