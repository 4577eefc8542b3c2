// Package docs_test checks that the documentation matches the sources. Go names, log messages,
// metric names, test names and paths that a page mentions must exist.
package docs_test

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// readPage returns the text of a file, given its path from the repository root.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var codeSpan = regexp.MustCompile("`([^`\n]+)`")

// codeSpans returns the texts in backticks on a page. It skips fenced code blocks.
func codeSpans(page string) (spans []string) {
	fenced := false
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
			continue
		}
		if fenced {
			continue
		}
		for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
			spans = append(spans, match[1])
		}
	}
	return spans
}

var (
	qualified = regexp.MustCompile(`^[a-z][a-z0-9]*(/[a-z0-9]+)*(\.[A-Za-z_][A-Za-z0-9_]*){1,2}$`)
	// Files, settings and addresses look like Go names but are none.
	otherName = regexp.MustCompile(`\.(go|md|toml|py|json|sh|txt|run)$|^(rebalance|renting|ledger|metrics|serving|launching|state|node|burst)\.[a-z_]+$|^(package\.|note/)`)
)

// goNames returns the Go names among the code spans of a page, without a trailing "()".
func goNames(page string) (names []string) {
	for _, span := range codeSpans(page) {
		name := strings.TrimSuffix(span, "()")
		if qualified.MatchString(name) && !otherName.MatchString(name) {
			names = append(names, name)
		}
	}
	return names
}

// minGoNames is the minimum count of Go names by page. It fails a test that recognizes too few
// names to check anything.
var minGoNames = map[string]int{
	"docs/architecture.md":       60,
	"docs/fault-interactions.md": 20,
	"docs/glossary.md":           20,
	"docs/oncall.md":             5,
}

// currentPages returns the pages that describe the present sources. The pages of results and
// incidents describe earlier sources and are left out.
func currentPages(t *testing.T) (pages []string) {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range found {
		if name := filepath.Base(page); name != "results.md" {
			pages = append(pages, "docs/"+name)
		}
	}
	return append(pages, "README.md")
}

func TestGoNamesInPagesExist(t *testing.T) {
	s := readSources(t)
	for _, page := range currentPages(t) {
		names := goNames(readPage(t, page))
		if len(names) < minGoNames[page] {
			t.Errorf("%s: %d Go names, want at least %d", page, len(names), minGoNames[page])
		}
		for _, name := range names {
			if !s.names[name] {
				t.Errorf("%s: %s does not exist", page, name)
			}
		}
	}
}

var goFile = regexp.MustCompile(`^[a-z][a-z0-9_/]*/[a-z0-9_]+\.go$`)

func TestGoFilesInPagesExist(t *testing.T) {
	for _, page := range currentPages(t) {
		for _, span := range codeSpans(readPage(t, page)) {
			if !goFile.MatchString(span) {
				continue
			}
			if _, err := os.Stat(filepath.Join(root, span)); err != nil {
				t.Errorf("%s: %s does not exist", page, span)
			}
		}
	}
}

// Guards against a recognizer that accepts every name: TestGoNamesInPagesExist would then pass
// with names that do not exist.
func TestGoNamesAreRecognized(t *testing.T) {
	s := readSources(t)
	for name, exists := range map[string]bool{
		"config.Load":         true,
		"config.Loads":        false,
		"wire.Heartbeat.Seq":  true,
		"wire.Heartbeat.Seqs": false,
		"wires.Heartbeat.Seq": false,
	} {
		if s.names[name] != exists {
			t.Errorf("%s: exists %v, want %v", name, s.names[name], exists)
		}
		if got := goNames("see `" + name + "`, `" + name + "()`"); len(got) != 2 {
			t.Errorf("%s: goNames returned %v, want two names", name, got)
		}
	}
	if got := goNames("`docs/design.md`, `rebalance.enabled`, `plan apply`, `w/p/N`"); len(got) != 0 {
		t.Errorf("goNames returned %v, want none", got)
	}
}

// layers returns the packages of each row of the layer table in docs/architecture.md, top layer
// first. The last row lists the packages that only tests import.
func layers(t *testing.T) (rows [][]string) {
	t.Helper()
	page := readPage(t, "docs/architecture.md")
	_, table, found := strings.Cut(page, "| layer | packages | rule |")
	if !found {
		t.Fatal("docs/architecture.md has no table of layers")
	}
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			if len(rows) > 0 {
				break
			}
			continue
		}
		if spans := codeSpans(cells[2]); len(spans) > 0 {
			rows = append(rows, spans)
		}
	}
	return rows
}

func TestPackagesImportDownwards(t *testing.T) {
	s := readSources(t)
	rowOf := map[string]int{}
	rows := layers(t)
	for i, row := range rows {
		for _, name := range row {
			if !s.packages[name] {
				t.Errorf("docs/architecture.md: there is no package %s", name)
			}
			rowOf[name] = i
		}
	}
	testsOnly := len(rows) - 1
	for name := range s.packages {
		row, listed := rowOf[name]
		if !listed {
			t.Errorf("docs/architecture.md: package %s is in no layer", name)
			continue
		}
		for imported := range s.imports[name] {
			switch importedRow, known := rowOf[imported]; {
			case !known || row == testsOnly:
			case importedRow < row:
				t.Errorf("package %s imports %s of a higher layer", name, imported)
			case importedRow == testsOnly:
				t.Errorf("package %s imports %s, which is for tests only", name, imported)
			}
		}
	}
}

// The layout in README.md must list each package, or its parent, except internal packages and
// those that only tests import.
func TestReadmeListsPackages(t *testing.T) {
	_, layout, found := strings.Cut(readPage(t, "README.md"), "\n## Layout\n")
	if !found {
		t.Fatal("README.md has no layout")
	}
	layout, _, _ = strings.Cut(layout, "\n## ")
	listed := codeSpans(layout)
	rows := layers(t)
	for _, row := range rows[:len(rows)-1] {
		for _, name := range row {
			if !slices.Contains(listed, name) && !slices.Contains(listed, path.Dir(name)) && !strings.HasPrefix(name, "internal/") {
				t.Errorf("README.md: package %s is not in the layout", name)
			}
		}
	}
}

var testName = regexp.MustCompile(`^(?:([a-z][a-z0-9/]*)\.)?(Test[A-Za-z0-9_]*)(…?)(/.*)?$`)

// Guards against rows of docs/fault-interactions.md that name tests which were renamed or removed.
// A name that ends in "…" is the beginning of a test name.
func TestFaultInteractionsNameTestsThatExist(t *testing.T) {
	s := readSources(t)
	count := 0
	for _, span := range codeSpans(readPage(t, "docs/fault-interactions.md")) {
		parts := testName.FindStringSubmatch(span)
		if parts == nil {
			continue
		}
		count++
		dir, name, isPrefix := parts[1], parts[2], parts[3] != ""
		if isPrefix {
			if !slices.ContainsFunc(allTests(s), func(test string) bool { return strings.HasPrefix(test, name) }) {
				t.Errorf("no test begins with %s", name)
			}
			continue
		}
		packages := s.tests[name]
		if len(packages) == 0 || dir != "" && !slices.Contains(packages, dir) {
			t.Errorf("test %s does not exist", span)
		}
	}
	if count < 60 {
		t.Errorf("%d tests named, want at least 60", count)
	}
}

// allTests returns the names of all test functions of the module.
func allTests(s *sources) (names []string) {
	for name := range s.tests {
		names = append(names, name)
	}
	return names
}

// tableCells returns the code spans in the first cell of each table row of a page's section.
func tableCells(t *testing.T, page, heading string) (cells []string) {
	t.Helper()
	_, section, found := strings.Cut(page, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("no section %q", heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			cells = append(cells, codeSpans(strings.Split(line, " | ")[0])...)
		}
	}
	return cells
}

func TestOncallNamesLogMessagesThatExist(t *testing.T) {
	s := readSources(t)
	messages := tableCells(t, readPage(t, "docs/oncall.md"), "Log messages")
	if len(messages) < 20 {
		t.Errorf("%d messages, want at least 20", len(messages))
	}
	for _, message := range messages {
		if !s.logged[message] {
			t.Errorf("docs/oncall.md: nothing logs %q", message)
		}
	}
}

// In the table of renamed log lines, the product must log each new message and must no longer log
// any old one.
func TestRenamedLogLinesAreLogged(t *testing.T) {
	s := readSources(t)
	_, table, found := strings.Cut(readPage(t, "docs/operations.md"), "| old log line | new log line |\n")
	if !found {
		t.Fatal("docs/operations.md has no table of renamed log lines")
	}
	rows := 0
	for line := range strings.Lines(table) {
		before, after, ok := strings.Cut(line, " | ")
		oldMessages, newMessages := codeSpans(before), codeSpans(after)
		if !ok || len(oldMessages) == 0 || len(newMessages) == 0 {
			continue
		}
		rows++
		if s.logged[oldMessages[0]] {
			t.Errorf("docs/operations.md: %q is still logged", oldMessages[0])
		}
		if !s.logged[newMessages[0]] {
			t.Errorf("docs/operations.md: nothing logs %q", newMessages[0])
		}
	}
	if rows < 20 {
		t.Errorf("%d renamed log lines, want at least 20", rows)
	}
}

// The status page selects log lines by the messages in metrics.notableMessages. A log message that
// is renamed only where it is logged would disappear from the page.
func TestFaultsKeptForOperatorsAreLogged(t *testing.T) {
	s := readSources(t)
	if len(s.notable) < 10 {
		t.Errorf("%d messages in metrics.notableMessages, want at least 10", len(s.notable))
	}
	for _, message := range s.notable {
		if !s.logged[message] {
			t.Errorf("metrics.notableMessages: nothing logs %q", message)
		}
	}
}

func TestOncallNamesMetricsThatExist(t *testing.T) {
	s := readSources(t)
	metrics := tableCells(t, readPage(t, "docs/oncall.md"), "Metrics")
	if len(metrics) < 12 {
		t.Errorf("%d metrics, want at least 12", len(metrics))
	}
	for _, metric := range metrics {
		name, ok := strings.CutPrefix(metric, "umberdeal_")
		if !ok {
			t.Errorf("docs/oncall.md: %s does not begin with umberdeal_", metric)
		}
		step := strings.TrimSuffix(name, "_seconds") // names of job step histograms are built from the step
		if !s.literals[name] && !s.literals[metric] && !s.literals[step] {
			t.Errorf("docs/oncall.md: there is no metric %s", metric)
		}
	}
}

var pagePath = regexp.MustCompile(`\bdocs/[a-z/-]+\.(?:md|toml|json|py)\b`)

// Guards against links to a page that was renamed, in other pages, comments and settings files.
func TestPagesMentionedExist(t *testing.T) {
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name != root && (strings.HasPrefix(entry.Name(), ".") || slices.Contains([]string{"testdata", "target", "journal"}, entry.Name())) {
				return filepath.SkipDir
			}
			return nil
		}
		if !slices.Contains([]string{".go", ".md", ".toml"}, path.Ext(name)) {
			return nil
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, mentioned := range pagePath.FindAllString(string(text), -1) {
			if _, err := os.Stat(filepath.Join(root, mentioned)); err != nil {
				t.Errorf("%s: %s does not exist", name, mentioned)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

var (
	testPattern   = regexp.MustCompile(`-(run|fuzz|bench)[ =]'?([A-Za-z|]+)'?`)
	testedPackage = regexp.MustCompile(`\./([a-z][a-z/]*)`)
)

// A command that selects tests by a pattern passes even if no test matches. Each alternative of a
// pattern in the pages and in CI must therefore match a test.
func TestPatternsInCommandsMatchTests(t *testing.T) {
	s := readSources(t)
	commands := 0
	for _, name := range append(currentPages(t), ".ci/run") {
		for line := range strings.Lines(readPage(t, name)) {
			spans := []string{line}
			if strings.HasSuffix(name, ".md") && !strings.HasPrefix(line, "    ") {
				spans = codeSpans(line)
			}
			for _, span := range spans {
				commands += checkPatterns(t, s, name, span)
			}
		}
	}
	if commands < 10 {
		t.Errorf("%d patterns, want at least 10", commands)
	}
}

// checkPatterns checks the test patterns of one command and returns their number.
func checkPatterns(t *testing.T, s *sources, page, command string) (found int) {
	t.Helper()
	dir := ""
	if m := testedPackage.FindStringSubmatch(command); m != nil {
		dir = m[1]
	}
	for _, m := range testPattern.FindAllStringSubmatch(command, -1) {
		kind := map[string]string{"run": "Test", "fuzz": "Fuzz", "bench": "Benchmark"}[m[1]]
		for part := range strings.SplitSeq(m[2], "|") {
			found++
			if !s.hasTest(dir, kind, part) {
				t.Errorf("%s: no %s of package %q matches %s", page, kind, dir, part)
			}
		}
	}
	return found
}

// hasTest reports whether the package in dir has a function whose name begins with kind and
// contains part. An empty dir means any package.
func (s *sources) hasTest(dir, kind, part string) bool {
	for name := range s.names {
		declaredIn, function, _ := strings.Cut(name, ".")
		if (dir == "" || declaredIn == dir) && strings.HasPrefix(function, kind) && strings.Contains(function, part) {
			return true
		}
	}
	return false
}
