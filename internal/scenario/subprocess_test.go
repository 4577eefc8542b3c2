package scenario

import (
	"bytes"
	"debug/elf"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A retry must not hide a data race or a failed test. Only a fault within a function of the race
// detector, or a failed check of its own, counts as an exit of the detector.
func TestOnlyExitsOfTheRaceDetectorAreRetried(t *testing.T) {
	fn := func(name string, at, size uint64) elf.Symbol {
		return elf.Symbol{Name: name, Info: byte(elf.STT_FUNC), Value: at, Size: size}
	}
	symbols := []elf.Symbol{fn("_ZN6__tsan8SlotLockEPNS_11ThreadStateE", 0x41c700, 0x40), fn("main.main", 0x41c740, 0x40),
		{Name: "_ZN6__tsanL8main_thrE", Info: byte(elf.STT_OBJECT), Value: 0x41c780, Size: 0x40}}
	for pc, want := range map[uint64]bool{0x41c729: true, 0x41c73f: true, 0x41c740: false, 0x41c781: false, 0x41c6ff: false} {
		if got := inDetector(symbols, pc); got != want {
			t.Errorf("inDetector(%#x) = %v, want %v", pc, got, want)
		}
	}
	for text, want := range map[string]bool{
		"FATAL: ThreadSanitizer CHECK failed: tsan_rtl.cpp:390":                                       true,
		"WARNING: DATA RACE\nFATAL: ThreadSanitizer CHECK failed: tsan_rtl.cpp:390":                   false,
		"ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346 \"(exiting) != (0)\" (0x0, 0x0) (tid=12133)": true,
		"WARNING: DATA RACE\nThreadSanitizer: CHECK failed: tsan_rtl.cpp:346 \"x\"":                   false,
		"--- FAIL: TestX (0.00s)\nThreadSanitizer: CHECK failed: tsan_rtl.cpp:346 \"x\"":              false,
		"ThreadSanitizer: CHECK failed: story_test.go:346 \"x\"":                                      false,
		"it says ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346 \"x\"":                               false,
		"--- FAIL: TestX (0.00s)\nFAIL":                                                               false,
		"panic: runtime error: invalid memory address\n[signal SIGSEGV: segmentation violation]":      false,
		"SIGSEGV: segmentation violation\nPC=0x1 m=3 sigcode=1 addr=0x0":                              false,
	} {
		if got := endedInDetector(os.Args[0], []byte(text)); got != want {
			t.Errorf("endedInDetector(%q) = %v, want %v", text, got, want)
		}
	}
}

// A failed test process must fail the package. A process that the race detector ended is run again,
// at most three times in all, and fails the package if the detector ends the last one too. A shell
// script stands in for the test binary.
func TestSubprocessResultsAreThePackagesResult(t *testing.T) {
	dir := t.TempDir()
	exe := filepath.Join(dir, "tests")
	script := `#!/bin/sh
for last; do :; done
case "$last" in
*Good*) echo fine ;;
*Bad*) echo "--- FAIL: TestBad"; exit 1 ;;
*Twice*) echo x >> ` + dir + `/tries; test $(wc -l < ` + dir + `/tries) -ge 2 || { echo "FATAL: ThreadSanitizer CHECK failed: x"; exit 66; } ;;
*Always*) echo "FATAL: ThreadSanitizer CHECK failed: x"; exit 66 ;;
esac
`
	if err := os.WriteFile(exe, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		names []string
		code  int
		says  string
	}{
		{[]string{"TestGood", "TestTwice"}, 0, "TestTwice: ended within the race detector, begun again\n"},
		{[]string{"TestGood", "TestBad"}, 1, "--- FAIL: TestBad"},
		{[]string{"TestAlways"}, 1, "FAIL\n"},
	} {
		var out bytes.Buffer
		if code := runInSubprocesses(exe, c.names, &out); code != c.code || !strings.Contains(out.String(), c.says) {
			t.Errorf("%v: exit code %d, output %q; want %d, %q", c.names, code, out.String(), c.code, c.says)
		}
	}
}
