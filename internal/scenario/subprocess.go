// Execution of each test in a process of its own under the race detector.

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

// subprocessEnv is the environment variable that is set in the process of a single test.
const subprocessEnv = "SCENARIO_SUBPROCESS"

const (
	maxSubprocesses = 6 // concurrent; go test runs other packages at the same time
	maxAttempts     = 3 // of a test whose process the race detector's code ended
)

// Main runs a package's tests and exits. Under the race detector it runs each test in a process
// of its own.
//
// The detector resets itself after about four million synchronizations. If the process then has
// more goroutines than the detector's 256 slots, the detector's own code (SlotLock) sometimes
// ends the process. All scenarios of a package in one process cause 9 to 65 resets, a single one
// causes none to a few. Main retries a test if the detector's code ended its process, as seen in
// the output or in the address of the fault. It retries no other failure. A test runs at most
// three times.
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

// parseTestList returns the names of tests and fuzz tests in the output of -test.list.
func parseTestList(list []byte) []string {
	var names []string
	for _, line := range strings.Fields(string(list)) {
		if strings.HasPrefix(line, "Test") || strings.HasPrefix(line, "Fuzz") {
			names = append(names, line)
		}
	}
	return names
}

// runInSubprocesses runs each test in a process of its own, and returns the exit code: 0 if all
// passed, otherwise 1.
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

// forwardedArgs returns the arguments of this process that its subprocesses get too. It drops
// -test.testlogfile, because that log of opened files supports only one writer.
func forwardedArgs(args []string) []string {
	var forwarded []string
	for _, arg := range args {
		if !strings.HasPrefix(arg, "-test.run=") && !strings.HasPrefix(arg, "-test.testlogfile=") {
			forwarded = append(forwarded, arg)
		}
	}
	return forwarded
}

// subprocessRunner runs single tests of a test binary and collects their output. It is safe for
// concurrent use.
type subprocessRunner struct {
	exe  string
	args []string

	mu     sync.Mutex
	out    io.Writer
	failed bool
}

// run runs a test, and retries it if the race detector's code ended its process.
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

// report prints the output of a test that failed, or of any test in verbose mode, and records the
// failure.
func (r *subprocessRunner) report(name string, text []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || testing.Verbose() {
		_, _ = r.out.Write(text) // stdout; the exit code reports the failure too
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

// reportRetry prints the output of a test that is about to be retried.
func (r *subprocessRunner) reportRetry(name string, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(text) // stdout
	fmt.Fprintf(r.out, "%s: ended within the race detector, begun again\n", name)
}

// detectorCheckFailed matches the race detector's report of a failed check in its own sources.
// The format depends on the detector's version.
var detectorCheckFailed = regexp.MustCompile(`(?m)^(FATAL: ThreadSanitizer CHECK failed|ThreadSanitizer: CHECK failed: (tsan|sanitizer)_\w+\.(cpp|h):\d+ )`)

// faultAddress matches the program counter of the fault that ended a process.
var faultAddress = regexp.MustCompile(`(?m)^PC=0x([0-9a-f]+) `)

// endedInDetector reports whether the race detector's own code ended a process, by a failed check
// or by a fault in one of its functions. It reports false if the output has a data race or a
// failed test.
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

// inDetector reports whether an address is in a function of the race detector.
func inDetector(symbols []elf.Symbol, pc uint64) bool {
	return slices.ContainsFunc(symbols, func(s elf.Symbol) bool {
		return elf.ST_TYPE(s.Info) == elf.STT_FUNC && s.Value <= pc && pc < s.Value+s.Size &&
			(strings.HasPrefix(s.Name, "_ZN6__tsan") || strings.HasPrefix(s.Name, "_ZN11__sanitizer"))
	})
}
