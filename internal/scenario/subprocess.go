package scenario

import (
	"bytes"
	"cmp"
	"debug/elf"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// This file runs each test of a package in a process of its own under the race detector.

// subprocessEnv is set in the process of a single test.
const subprocessEnv = "SCENARIO_SUBPROCESS"

const (
	maxSubprocesses = 6 // at once; other packages are tested beside this one, and most tests are over sooner
	maxAttempts     = 3
)

// Main runs a package's tests, under the race detector each in a process of its
// own. Each four million or so synchronisations the detector resets itself, and
// at times its own code ends the process there (SlotLock) once there are more
// goroutines than its 256 slots: the scenarios of a package in one process went through
// 9 to 65 resets, alone they go through none to a few. A test whose process the
// detector's code ended, which shows in its message or in the address of the fault, is run
// again, three times in all at most; no other failure is retried.
func Main(m *testing.M) {
	flag.Parse()
	run := flag.Lookup("test.run").Value.String()
	alone := os.Getenv(subprocessEnv) != "" || strings.Contains(run, "/")
	for _, name := range []string{"test.list", "test.bench", "test.fuzz", "test.coverprofile"} {
		alone = alone || flag.Lookup(name).Value.String() != ""
	}
	if !UnderRace || alone {
		os.Exit(m.Run())
	}
	exe, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "scenario:", err)
		os.Exit(1)
	}
	list, err := exec.Command(exe, "-test.list", cmp.Or(run, ".")).Output()
	if err != nil {
		fmt.Fprintln(os.Stderr, "scenario: the tests could not be listed:", err)
		os.Exit(1)
	}
	os.Exit(runInSubprocesses(exe, parseTestList(list), os.Stdout))
}

// parseTestList reads the names that -test.list prints.
func parseTestList(list []byte) []string {
	var names []string
	for _, line := range strings.Fields(string(list)) {
		if strings.HasPrefix(line, "Test") || strings.HasPrefix(line, "Fuzz") {
			names = append(names, line)
		}
	}
	return names
}

// runInSubprocesses runs tests in processes of their own, and returns the exit code.
func runInSubprocesses(exe string, names []string, out io.Writer) int {
	runner := subprocessRunner{exe: exe, args: forwardedArgs(os.Args[1:]), out: out}
	var running sync.WaitGroup
	slots := make(chan struct{}, maxSubprocesses)
	for _, name := range names {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			runner.run(name)
		})
	}
	running.Wait()
	if runner.failed {
		fmt.Fprintln(out, "FAIL")
		return 1
	}
	fmt.Fprintln(out, "PASS")
	return 0
}

// forwardedArgs are the arguments of this process that its subprocesses get too. The log
// of the files that a test has opened is not among them, as it has one writer.
func forwardedArgs(args []string) []string {
	var forwarded []string
	for _, arg := range args {
		if !strings.HasPrefix(arg, "-test.run=") && !strings.HasPrefix(arg, "-test.testlogfile=") {
			forwarded = append(forwarded, arg)
		}
	}
	return forwarded
}

// subprocessRunner runs single tests of a test binary, and collects what they say.
type subprocessRunner struct {
	exe  string
	args []string

	mu     sync.Mutex
	out    io.Writer
	failed bool
}

// run runs a test, and again if the race detector ended its process.
func (r *subprocessRunner) run(name string) {
	for attempt := 1; ; attempt++ {
		cmd := exec.Command(r.exe, append(slices.Clone(r.args), "-test.run=^"+name+"$")...)
		cmd.Env = append(os.Environ(), subprocessEnv+"=1")
		text, err := cmd.CombinedOutput()
		if err == nil || attempt == maxAttempts || !endedInDetector(r.exe, text) {
			r.report(name, text, err)
			return
		}
		r.reportRetry(name, text)
	}
}

// report passes on what a test said, and whether it failed.
func (r *subprocessRunner) report(name string, text []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || testing.Verbose() {
		_, _ = r.out.Write(text) // the standard output: the exit code says it all the same
	}
	if err == nil {
		return
	}
	r.failed = true
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		fmt.Fprintf(r.out, "%s: %v\n", name, err)
	}
}

func (r *subprocessRunner) reportRetry(name string, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(text) // the standard output, as above
	fmt.Fprintf(r.out, "%s: ended within the race detector, begun again\n", name)
}

// detectorCheckFailed is how the detector says that a check in its own sources failed; which of
// the two ways depends on its version.
var detectorCheckFailed = regexp.MustCompile(`(?m)^(FATAL: ThreadSanitizer CHECK failed|ThreadSanitizer: CHECK failed: (tsan|sanitizer)_\w+\.(cpp|h):\d+ )`)

// faultAddress is where a fault ended the process.
var faultAddress = regexp.MustCompile(`(?m)^PC=0x([0-9a-f]+) `)

// endedInDetector says whether a process was ended by the race detector's own
// code: a check of its own that failed, or a fault at an address of its. A race
// that was found, or a test that failed, is nothing of the kind.
func endedInDetector(exe string, text []byte) bool {
	if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("--- FAIL")) {
		return false
	}
	if detectorCheckFailed.Match(text) {
		return true
	}
	at := faultAddress.FindSubmatch(text)
	if at == nil {
		return false
	}
	pc, err := strconv.ParseUint(string(at[1]), 16, 64)
	if err != nil {
		return false
	}
	f, err := elf.Open(exe)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }() // only read
	symbols, err := f.Symbols()
	return err == nil && inDetector(symbols, pc)
}

// inDetector says whether an address is in a function of the detector.
func inDetector(symbols []elf.Symbol, pc uint64) bool {
	return slices.ContainsFunc(symbols, func(s elf.Symbol) bool {
		return elf.ST_TYPE(s.Info) == elf.STT_FUNC && s.Value <= pc && pc < s.Value+s.Size &&
			(strings.HasPrefix(s.Name, "_ZN6__tsan") || strings.HasPrefix(s.Name, "_ZN11__sanitizer"))
	})
}
