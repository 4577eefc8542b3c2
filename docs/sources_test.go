// Reading of the module's Go sources, with which the tests compare the pages.

package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = ".."                              // of the repository, from this package
	module = "github.com/umberdeal/umberdeal/" // prefix of import paths
)

// sources holds the names and messages found in the Go files of the module.
type sources struct {
	packages map[string]bool            // directories that have Go files outside tests
	imports  map[string]map[string]bool // imported packages of this module by importing package, outside tests
	names    map[string]bool            // "package.Name" and "package.Type.Member", tests included
	tests    map[string][]string        // packages by test function
	literals map[string]bool            // string literals outside tests
	logged   map[string]bool            // messages of log calls outside tests
	notable  []string                   // the messages that package metrics keeps for operators
}

// readSources parses every Go file of the module, except those below docs, journal, target, testdata
// and hidden folders.
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

// sourceFile is one parsed Go file.
type sourceFile struct {
	dir     string // of its package, from the repository root
	syntax  *ast.File
	inTests bool // name ends in _test.go
}

// add records the imports, names, string literals and log messages of one file.
func (s *sources) add(f sourceFile) {
	dir, file := f.dir, f.syntax
	if !f.inTests {
		s.packages[dir] = true
		if s.imports[dir] == nil {
			s.imports[dir] = map[string]bool{}
		}
		for _, spec := range file.Imports {
			if imported, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module); ok {
				s.imports[dir][imported] = true
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

// literal returns the value of a string literal; ok is false for any other expression.
func literal(e ast.Expr) (text string, ok bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// addLogCall records the message if the call is a structured log call.
func (s *sources) addLogCall(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return
	}
	if message, ok := literal(call.Args[0]); ok {
		s.logged[message] = true
	}
}

// addFunc records a function or method, and the package of a test function.
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

// addSpec records a constant, variable or type, and the members of a struct or interface.
func (s *sources) addSpec(dir string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for i, name := range spec.Names {
			s.names[dir+"."+name.Name] = true
			if dir+"."+name.Name == "metrics.notableMessages" && i < len(spec.Values) {
				s.addNotableMessages(spec.Values[i])
			}
		}
	case *ast.TypeSpec:
		s.names[dir+"."+spec.Name.Name] = true
		var members *ast.FieldList
		switch typ := spec.Type.(type) {
		case *ast.StructType:
			members = typ.Fields
		case *ast.InterfaceType:
			members = typ.Methods
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

// addNotableMessages records the messages of metrics.notableMessages from its composite literal.
func (s *sources) addNotableMessages(list ast.Expr) {
	composite, ok := list.(*ast.CompositeLit)
	if !ok {
		return
	}
	for _, element := range composite.Elts {
		if message, ok := literal(element); ok {
			s.notable = append(s.notable, message)
		}
	}
}

// typeName returns the name of a receiver's type, without pointer and type parameter.
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
