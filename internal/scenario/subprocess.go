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

// childEnv marks the process of a single test.
const childEnv = "STORY_APART"

const (
	apartAtOnce = 6 // tests at once; other packages are tested beside this one, and most are over sooner
	apartTries  = 3
)

// Main runs a package's tests, under the race detector each in a process of its
// own. Each four million or so synchronisations the detector resets itself, and
// at times its own code ends the process there (SlotLock) once there are more
// goroutines than its 256 slots: the scenarios of a package in one process went through
// 9 to 65 resets, alone they go through none to a few. A test whose process the
// detector's code ended, which is told by the address of the fault, is begun
// again; nothing else is.
func Main(m *testing.M) {
	flag.Parse()
	run := flag.Lookup("test.run").Value.String()
	alone := os.Getenv(childEnv) != "" || strings.Contains(run, "/")
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
	os.Exit(apart(exe, tests(list), os.Stdout))
}

// tests reads the names that -test.list prints.
func tests(list []byte) []string {
	var names []string
	for _, line := range strings.Fields(string(list)) {
		if strings.HasPrefix(line, "Test") || strings.HasPrefix(line, "Fuzz") {
			names = append(names, line)
		}
	}
	return names
}

// apart runs tests in processes of their own, and returns the exit code.
func apart(exe string, names []string, out io.Writer) int {
	var args []string
	for _, a := range os.Args[1:] {
		// The log of the files that a test has opened has one writer.
		if !strings.HasPrefix(a, "-test.run=") && !strings.HasPrefix(a, "-test.testlogfile=") {
			args = append(args, a)
		}
	}
	var (
		mu     sync.Mutex
		failed bool
		wg     sync.WaitGroup
		places = make(chan struct{}, apartAtOnce)
	)
	for _, name := range names {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			for try := 1; ; try++ {
				cmd := exec.Command(exe, append(slices.Clone(args), "-test.run=^"+name+"$")...)
				cmd.Env = append(os.Environ(), childEnv+"=1")
				text, err := cmd.CombinedOutput()
				again := err != nil && try < apartTries && detectorEnded(exe, text)
				mu.Lock()
				if err != nil || testing.Verbose() {
					_, _ = out.Write(text) // the standard output: the exit code says it all the same
				}
				if again {
					fmt.Fprintf(out, "%s: ended within the race detector, begun again\n", name)
				} else if err != nil {
					failed = true
					var code *exec.ExitError
					if !errors.As(err, &code) {
						fmt.Fprintf(out, "%s: %v\n", name, err)
					}
				}
				mu.Unlock()
				if !again {
					return
				}
			}
		})
	}
	wg.Wait()
	if failed {
		fmt.Fprintln(out, "FAIL")
		return 1
	}
	fmt.Fprintln(out, "PASS")
	return 0
}

// checkFailed is how the detector says that a check in its own sources failed; which of
// the two ways depends on its version.
var checkFailed = regexp.MustCompile(`(?m)^(FATAL: ThreadSanitizer CHECK failed|ThreadSanitizer: CHECK failed: (tsan|sanitizer)_\w+\.(cpp|h):\d+ )`)

var faultAt = regexp.MustCompile(`(?m)^PC=0x([0-9a-f]+) `)

// detectorEnded says whether a process was ended by the race detector's own
// code: a check of its own that failed, or a fault at an address of its. A race
// that was found, or a test that failed, is nothing of the kind.
func detectorEnded(exe string, text []byte) bool {
	if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("--- FAIL")) {
		return false
	}
	if checkFailed.Match(text) {
		return true
	}
	at := faultAt.FindSubmatch(text)
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
	return err == nil && within(symbols, pc)
}

// within says whether an address is in a function of the detector.
func within(symbols []elf.Symbol, pc uint64) bool {
	return slices.ContainsFunc(symbols, func(s elf.Symbol) bool {
		return elf.ST_TYPE(s.Info) == elf.STT_FUNC && s.Value <= pc && pc < s.Value+s.Size &&
			(strings.HasPrefix(s.Name, "_ZN6__tsan") || strings.HasPrefix(s.Name, "_ZN11__sanitizer"))
	})
}
