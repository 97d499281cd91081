// Package docs tests the documentation: names, tests and files that the pages refer to must exist.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// historyPages matches pages that describe the past and may use former names. Their links are checked too.
var historyPages = regexp.MustCompile(`^docs/(results\.md|incidents/)`)

var (
	quoted     = regexp.MustCompile("`([^`]+)`")
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	sourcePath = regexp.MustCompile(`^(?:internal|cmd|deploy|examples)(?:/[\w.-]+)*$`)
	// goName matches a Go name with a capital letter, qualified or not, such as Dispatcher, proxy.Proxy, Proxy.handle or clientConn.
	goName = regexp.MustCompile(`^[a-z]*(?:\.?[A-Z]\w*)+(?:\.\w+)?$`)
	// runPattern matches the argument of go test -run on a page; XXX selects no test, for runs of benchmarks only.
	runPattern = regexp.MustCompile(`-run (\w+)`)
	link       = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)
	docPath    = regexp.MustCompile(`\bdocs/[\w/.-]*\.md\b`)
)

// sources holds the names declared in Go files: "package.Name" and "package.Type.Member" from non-test files, and the names of test
// functions.
type sources struct {
	declared, tests map[string]bool
}

func readSources(t *testing.T) sources {
	t.Helper()
	found := sources{declared: map[string]bool{}, tests: map[string]bool{}}
	files := token.NewFileSet()
	for _, folder := range []string{"cmd", "internal", "examples"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			if strings.HasSuffix(path, "_test.go") {
				found.addTests(file)
			} else {
				found.addFile(file)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

func (s sources) addTests(file *ast.File) {
	for _, decl := range file.Decls {
		if function, ok := decl.(*ast.FuncDecl); ok && function.Recv == nil {
			s.tests[function.Name.Name] = true
		}
	}
}

func (s sources) addFile(file *ast.File) {
	prefix := file.Name.Name + "."
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if decl.Recv != nil {
				s.declared[prefix+receiverType(decl.Recv.List[0].Type)+"."+decl.Name.Name] = true
				continue
			}
			s.declared[prefix+decl.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				s.addSpec(prefix, spec)
			}
		}
	}
}

func (s sources) addSpec(prefix string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s.declared[prefix+name.Name] = true
		}
	case *ast.TypeSpec:
		s.declared[prefix+spec.Name.Name] = true
		var members *ast.FieldList
		switch body := spec.Type.(type) {
		case *ast.StructType:
			members = body.Fields
		case *ast.InterfaceType:
			members = body.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				s.declared[prefix+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverType returns the name of a method's receiver type without pointer and type parameters.
func receiverType(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return receiverType(expr.X)
	case *ast.IndexExpr:
		return receiverType(expr.X)
	case *ast.IndexListExpr:
		return receiverType(expr.X)
	case *ast.Ident:
		return expr.Name
	}
	return ""
}

// exists reports whether a name of the glossary exists as a path from the root or as a declared name.
func (s sources) exists(name string) bool {
	if strings.Contains(name, "/") {
		_, err := os.Stat(filepath.Join(root, name))
		return err == nil
	}
	return s.declared[name]
}

// glossaryRow is a row of a glossary table: a word, its standard term, the names in the code, and the meaning.
type glossaryRow struct {
	part, word string
	code       string
	cells      int
}

func readGlossary(t *testing.T) (rows []glossaryRow) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "docs/glossary.md"))
	if err != nil {
		t.Fatal(err)
	}
	part := ""
	for line := range strings.Lines(string(raw)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			part = strings.TrimSpace(title)
		}
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| Word") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		row := glossaryRow{part: part, word: strings.TrimSpace(cells[0]), cells: len(cells)}
		if len(cells) > 2 {
			row.code = cells[2]
		}
		rows = append(rows, row)
	}
	return rows
}

// Each glossary row must have four cells, and every name in the third must exist.
func TestGlossaryNamesExist(t *testing.T) {
	known, rows := readSources(t), readGlossary(t)
	if len(rows) < 100 {
		t.Errorf("%d rows were read, which is too few for the entire glossary", len(rows))
	}
	for _, row := range rows {
		if row.cells != 4 {
			t.Errorf("%s, %q: %d cells", row.part, row.word, row.cells)
			continue
		}
		names := quoted.FindAllStringSubmatch(row.code, -1)
		if len(names) == 0 && strings.TrimSpace(row.code) != "none" {
			t.Errorf("%s, %q: names nothing in the code, and doesn't say none", row.part, row.word)
		}
		for _, name := range names {
			if !known.exists(name[1]) {
				t.Errorf("%s, %q: %s doesn't exist", row.part, row.word, name[1])
			}
		}
	}
}

// Both parts of the glossary must be sorted and have no duplicate words.
func TestGlossaryIsSorted(t *testing.T) {
	parts := map[string][]string{}
	for _, row := range readGlossary(t) {
		parts[row.part] = append(parts[row.part], strings.ToLower(strings.ReplaceAll(row.word, "`", "")))
	}
	if len(parts) != 2 {
		t.Errorf("%d parts, want 2", len(parts))
	}
	for part, words := range parts {
		for i, word := range words[1:] {
			if words[i] >= word {
				t.Errorf("%s: %q stands before %q", part, words[i], word)
			}
		}
	}
}

// pages returns the text of the pages in docs and at the root, by path.
func pages(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	read := func(path string) {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		all[filepath.ToSlash(name)] = string(raw)
	}
	for _, name := range []string{"README.md", "CONTRIBUTING.md", "CHANGELOG.md"} {
		read(filepath.Join(root, name))
	}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".md") {
			read(path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Pages other than historyPages must refer only to tests that exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	known := readSources(t)
	for page, text := range pages(t) {
		if historyPages.MatchString(page) || page == "CHANGELOG.md" {
			continue
		}
		names := testName.FindAllString(text, -1)
		for _, pattern := range runPattern.FindAllStringSubmatch(text, -1) {
			names = append(names, pattern[1])
		}
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			if !known.tests[name] && !known.tests["Test"+name] && name != "XXX" {
				t.Errorf("%s: there is no test %s", page, name)
			}
		}
	}
}

// Links and paths of pages must refer to existing files.
func TestLinksLeadToFiles(t *testing.T) {
	for page, text := range pages(t) {
		for _, target := range link.FindAllStringSubmatch(text, -1) {
			if strings.Contains(target[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(root, filepath.Dir(page), target[1])); err != nil {
				t.Errorf("%s: the link to %s leads nowhere", page, target[1])
			}
		}
		for _, path := range docPath.FindAllString(text, -1) {
			if _, err := os.Stat(filepath.Join(root, path)); err != nil {
				t.Errorf("%s: %s doesn't exist", page, path)
			}
		}
	}
}

// docs/oncall.md must have a row for each message that proxies and control processes log.
func TestOnCallHasEachLogLine(t *testing.T) {
	documented := firstCells(pages(t)["docs/oncall.md"])
	messages := 0
	for _, folder := range []string{"cmd/portflowd", "internal/control/server", "internal/proxy"} {
		names, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			for _, message := range logMessages(t, name) {
				messages++
				if !documented[message] {
					t.Errorf("docs/oncall.md has no line on %q, which %s logs", message, filepath.Base(name))
				}
			}
		}
	}
	if messages < 10 {
		t.Errorf("%d log messages were found, which is too few", messages)
	}
}

// firstCells returns the quoted words in the first cells of a page's tables.
func firstCells(page string) map[string]bool {
	words := map[string]bool{}
	for line := range strings.Lines(page) {
		row, isRow := strings.CutPrefix(line, "| ")
		if !isRow {
			continue
		}
		cell, _, _ := strings.Cut(row, " | ")
		for _, word := range quoted.FindAllStringSubmatch(cell, -1) {
			words[word[1]] = true
		}
	}
	return words
}

// logMessages returns the messages that a file logs with klog.InfoS and klog.ErrorS.
func logMessages(t *testing.T, path string) (messages []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		function, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if !isKlog(function.X) || !strings.HasSuffix(function.Sel.Name, "S") {
			return true
		}
		for _, arg := range call.Args[:min(2, len(call.Args))] { // the message is the first argument, or follows an error
			literal, ok := arg.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				continue
			}
			message, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			messages = append(messages, message)
			break
		}
		return true
	})
	return messages
}

// Paths, types and functions named in docs/architecture.md, with or without their package, must exist.
func TestArchitectureNamesExist(t *testing.T) {
	known := readSources(t)
	unqualified := map[string]bool{}
	for name := range known.declared {
		_, short, _ := strings.Cut(name, ".")
		unqualified[short] = true
	}
	checked := 0
	for _, quote := range quoted.FindAllStringSubmatch(pages(t)["docs/architecture.md"], -1) {
		name := strings.TrimSuffix(quote[1], "/...")
		isPath := sourcePath.MatchString(name)
		if !isPath && !goName.MatchString(name) {
			continue
		}
		checked++
		if !known.exists(name) && (isPath || !unqualified[name]) {
			t.Errorf("docs/architecture.md: %s doesn't exist", name)
		}
	}
	if checked < 60 {
		t.Errorf("%d names were checked, which is too few", checked)
	}
}

// isKlog reports whether an expression is klog or klog.V with a verbosity.
func isKlog(expr ast.Expr) bool {
	switch expr := expr.(type) {
	case *ast.Ident:
		return expr.Name == "klog"
	case *ast.CallExpr:
		function, ok := expr.Fun.(*ast.SelectorExpr)
		return ok && function.Sel.Name == "V" && isKlog(function.X)
	}
	return false
}
