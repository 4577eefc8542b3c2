// Package docs_test holds the pages against the sources: Go names, log messages, metric
// names, test names and paths that a page mentions must exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = ".."
	module = "github.com/umberdeal/umberdeal/"
)

// sources is what the pages are held against, read from all Go files of the module.
type sources struct {
	packages map[string]bool            // directories that have Go files outside tests
	imports  map[string]map[string]bool // by package, of this module, outside tests
	names    map[string]bool            // "package.Name" and "package.Type.Member", tests included
	tests    map[string][]string        // test functions, with the packages that have them
	literals map[string]bool            // string literals outside tests
	logged   map[string]bool            // messages of log calls outside tests
	troubles []string                   // the messages that package metrics keeps for operators
}

// readSources parses every Go file of the module once.
func readSources(t *testing.T) *sources {
	t.Helper()
	s := &sources{
		packages: map[string]bool{}, imports: map[string]map[string]bool{}, names: map[string]bool{},
		tests: map[string][]string{}, literals: map[string]bool{}, logged: map[string]bool{},
	}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name != root && (strings.HasPrefix(entry.Name(), ".") || slices.Contains([]string{"testdata", "target", "journal", "docs"}, entry.Name())) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(name))
		if err != nil {
			return err
		}
		s.add(sourceFile{dir: filepath.ToSlash(dir), syntax: file, inTests: strings.HasSuffix(name, "_test.go")})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// sourceFile is one parsed file, and the directory of its package.
type sourceFile struct {
	dir     string
	syntax  *ast.File
	inTests bool
}

// add takes one file in.
func (s *sources) add(f sourceFile) {
	dir, file := f.dir, f.syntax
	if !f.inTests {
		s.packages[dir] = true
		if s.imports[dir] == nil {
			s.imports[dir] = map[string]bool{}
		}
		for _, spec := range file.Imports {
			if of, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module); ok {
				s.imports[dir][of] = true
			}
		}
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			s.addFunc(f, d)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				s.addSpec(dir, spec)
			}
		}
	}
	if f.inTests {
		return
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BasicLit:
			if text, ok := literal(n); ok {
				s.literals[text] = true
			}
		case *ast.CallExpr:
			s.addLogCall(n)
		}
		return true
	})
}

// literal is the value of a string literal.
func literal(e ast.Expr) (text string, ok bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// addLogCall takes the message of a structured log call in.
func (s *sources) addLogCall(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return
	}
	if message, ok := literal(call.Args[0]); ok {
		s.logged[message] = true
	}
}

func (s *sources) addFunc(f sourceFile, d *ast.FuncDecl) {
	if d.Recv == nil {
		s.names[f.dir+"."+d.Name.Name] = true
		if f.inTests && strings.HasPrefix(d.Name.Name, "Test") {
			s.tests[d.Name.Name] = append(s.tests[d.Name.Name], f.dir)
		}
		return
	}
	if receiver := typeName(d.Recv.List[0].Type); receiver != "" {
		s.names[f.dir+"."+receiver+"."+d.Name.Name] = true
	}
}

func (s *sources) addSpec(dir string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for i, name := range spec.Names {
			s.names[dir+"."+name.Name] = true
			if dir+"."+name.Name == "metrics.troubleMessages" && i < len(spec.Values) {
				s.addTroubles(spec.Values[i])
			}
		}
	case *ast.TypeSpec:
		s.names[dir+"."+spec.Name.Name] = true
		var members *ast.FieldList
		switch of := spec.Type.(type) {
		case *ast.StructType:
			members = of.Fields
		case *ast.InterfaceType:
			members = of.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				s.names[dir+"."+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// addTroubles takes the list of messages in that package metrics keeps.
func (s *sources) addTroubles(list ast.Expr) {
	composite, ok := list.(*ast.CompositeLit)
	if !ok {
		return
	}
	for _, element := range composite.Elts {
		if message, ok := literal(element); ok {
			s.troubles = append(s.troubles, message)
		}
	}
}

// typeName is the name of a receiver's type.
func typeName(receiver ast.Expr) string {
	switch e := receiver.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// readPage reads a page of the repository, by its path from the root.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var codeSpan = regexp.MustCompile("`([^`\n]+)`")

// codeSpans are what a page has in backticks, outside of code blocks.
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
	// A file, a setting or an address is no Go name.
	otherName = regexp.MustCompile(`\.(go|md|toml|py|json|sh|txt|run)$|^(rebalance|renting|ledger|metrics|serving|launching|state|node|burst)\.[a-z_]+$|^(package\.|note/)`)
)

// goNames are the Go names among the code spans of a page.
func goNames(page string) (names []string) {
	for _, span := range codeSpans(page) {
		name := strings.TrimSuffix(span, "()")
		if qualified.MatchString(name) && !otherName.MatchString(name) {
			names = append(names, name)
		}
	}
	return names
}

// namesAtLeast is how many Go names pages must have: with fewer, the test would hold nothing.
var namesAtLeast = map[string]int{
	"docs/architecture.md":       60,
	"docs/fault-interactions.md": 20,
	"docs/glossary.md":           20,
	"docs/oncall.md":             5,
}

// currentPages are the pages that speak of the sources as they are. Results and incidents
// speak of those that were.
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
		if len(names) < namesAtLeast[page] {
			t.Errorf("%s: %d Go names, want %d at least", page, len(names), namesAtLeast[page])
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

// A name that is gone must be found out, or the test above holds nothing.
func TestGoNamesAreRecognized(t *testing.T) {
	s := readSources(t)
	for name, exists := range map[string]bool{
		"config.Load":          true,
		"config.Loads":         false,
		"wire.Report.Session":  true,
		"wire.Report.Sessions": false,
		"wires.Report.Session": false,
	} {
		if s.names[name] != exists {
			t.Errorf("%s: exists %v, want %v", name, s.names[name], exists)
		}
		if got := goNames("see `" + name + "`, `" + name + "()`"); len(got) != 2 {
			t.Errorf("%s: recognized as %v", name, got)
		}
	}
	if got := goNames("`docs/design.md`, `rebalance.enabled`, `plan apply`, `w/p/N`"); len(got) != 0 {
		t.Errorf("taken for Go names: %v", got)
	}
}

// layers are the packages of the table in docs/architecture.md, a row each; the last row
// is for tests only.
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
			switch of, known := rowOf[imported]; {
			case !known || row == testsOnly:
			case of < row:
				t.Errorf("package %s imports %s of a higher layer", name, imported)
			case of == testsOnly:
				t.Errorf("package %s imports %s, which is for tests only", name, imported)
			}
		}
	}
}

// The layout in README.md lists each package that is not for tests only, or its parent.
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

// The rows of docs/fault-interactions.md name the tests that bring each interaction about.
func TestFaultInteractionsNameTestsThatExist(t *testing.T) {
	s := readSources(t)
	count := 0
	for _, span := range codeSpans(readPage(t, "docs/fault-interactions.md")) {
		parts := testName.FindStringSubmatch(span)
		if parts == nil {
			continue
		}
		count++
		of, name, cut := parts[1], parts[2], parts[3] != ""
		if cut {
			if !slices.ContainsFunc(allTests(s), func(test string) bool { return strings.HasPrefix(test, name) }) {
				t.Errorf("no test begins with %s", name)
			}
			continue
		}
		in := s.tests[name]
		if len(in) == 0 || of != "" && !slices.Contains(in, of) {
			t.Errorf("test %s does not exist", span)
		}
	}
	if count < 60 {
		t.Errorf("%d tests named, want 60 at least", count)
	}
}

func allTests(s *sources) (names []string) {
	for name := range s.tests {
		names = append(names, name)
	}
	return names
}

// tableCells are the code spans in the first cell of each row of the tables below a heading.
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
		t.Errorf("%d messages, want 20 at least", len(messages))
	}
	for _, message := range messages {
		if !s.logged[message] {
			t.Errorf("docs/oncall.md: nothing logs %q", message)
		}
	}
}

// The table of renamed log lines gives what is logged now, and nothing that still is in the
// column of what was.
func TestRenamedLogLinesAreLogged(t *testing.T) {
	s := readSources(t)
	_, table, found := strings.Cut(readPage(t, "docs/operations.md"), "| old log line | new log line |\n")
	if !found {
		t.Fatal("docs/operations.md has no table of renamed log lines")
	}
	rows := 0
	for line := range strings.Lines(table) {
		before, after, ok := strings.Cut(line, " | ")
		was, is := codeSpans(before), codeSpans(after)
		if !ok || len(was) == 0 || len(is) == 0 {
			continue
		}
		rows++
		if s.logged[was[0]] {
			t.Errorf("docs/operations.md: %q is logged still", was[0])
		}
		if !s.logged[is[0]] {
			t.Errorf("docs/operations.md: nothing logs %q", is[0])
		}
	}
	if rows < 20 {
		t.Errorf("%d renamed log lines, want 20 at least", rows)
	}
}

// The status page keeps log lines by their messages: a message that is renamed must be
// renamed there.
func TestTroublesKeptForOperatorsAreLogged(t *testing.T) {
	s := readSources(t)
	if len(s.troubles) < 10 {
		t.Errorf("%d messages in metrics.troubleMessages, want 10 at least", len(s.troubles))
	}
	for _, message := range s.troubles {
		if !s.logged[message] {
			t.Errorf("metrics.troubleMessages: nothing logs %q", message)
		}
	}
}

func TestOncallNamesMetricsThatExist(t *testing.T) {
	s := readSources(t)
	metrics := tableCells(t, readPage(t, "docs/oncall.md"), "Metrics")
	if len(metrics) < 12 {
		t.Errorf("%d metrics, want 12 at least", len(metrics))
	}
	for _, metric := range metrics {
		name, ok := strings.CutPrefix(metric, "umberdeal_")
		if !ok {
			t.Errorf("docs/oncall.md: %s does not begin with umberdeal_", metric)
		}
		step := strings.TrimSuffix(name, "_seconds") // the histograms of a job's steps have their names composed
		if !s.literals[name] && !s.literals[metric] && !s.literals[step] {
			t.Errorf("docs/oncall.md: there is no metric %s", metric)
		}
	}
}

var pagePath = regexp.MustCompile(`\bdocs/[a-z/-]+\.(?:md|toml|json|py)\b`)

// Pages that are renamed are followed everywhere: in other pages and in comments.
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
