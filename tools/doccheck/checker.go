package main

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// properNames are the words in mixed case that are no identifiers.
var properNames = []string{"GiB", "GitHub", "KiB", "MiB", "OpenAI"}

var (
	wordPattern      = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)
	mixedPattern     = regexp.MustCompile(`[a-z][0-9]*[A-Z]|[A-Z]{2}[a-z]{2}`)
	firstPattern     = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*`)
	subjectPattern   = regexp.MustCompile(`^\w+\s+(is|are|counts|has|holds|keeps|limits|lists|maps|names|reports|returns|says|sets|tells|was)\b`)
	testPattern      = regexp.MustCompile(`^(Test|Benchmark|Fuzz|Example)([^a-z]|$)`)
	pronounPattern   = regexp.MustCompile(`^(All|Both|Each|It|Nil|None|Nothing|That|There|These|They|This|What|Which|Zero)$`)
	directivePattern = regexp.MustCompile(`^//[a-z0-9]+:[a-z0-9]`)
)

// A checker holds the state of one run.
type checker struct {
	set      *token.FileSet
	known    map[string]bool // identifiers and words of string literals
	findings []string
}

// checkTree returns the findings in the Go files of tree. It skips hidden folders.
func checkTree(tree fs.FS) ([]string, error) {
	c := &checker{set: token.NewFileSet(), known: make(map[string]bool)}
	var files []*ast.File
	if err := fs.WalkDir(tree, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != "." && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		source, err := fs.ReadFile(tree, path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(c.set, path, source, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, c.collect)
		files = append(files, file)
		return nil
	}); err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.New("no Go files in the tree")
	}
	for _, file := range files {
		if !ast.IsGenerated(file) {
			c.checkDocs(file)
			c.checkWords(file)
		}
	}
	return c.findings, nil
}

// collect adds identifiers and the words of string literals to the known words.
func (c *checker) collect(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.Ident:
		c.known[n.Name] = true
	case *ast.BasicLit:
		if text, err := strconv.Unquote(n.Value); err == nil { // not a number
			for _, word := range wordPattern.FindAllString(text, -1) {
				c.known[word] = true
			}
		}
	}
	return true
}

// checkDocs checks the doc comments of the declarations of file.
func (c *checker) checkDocs(file *ast.File) {
	inTest := strings.HasSuffix(c.set.Position(file.Package).Filename, "_test.go")
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if inTest && testPattern.MatchString(d.Name.Name) {
				c.forbidOther(d.Doc, d.Name)
			} else {
				c.requireName(d.Doc, d.Name.Name)
			}
		case *ast.GenDecl:
			ast.Inspect(d, func(node ast.Node) bool {
				switch n := node.(type) {
				case *ast.FuncLit:
					return false
				case *ast.TypeSpec:
					c.requireName(specDoc(d, n.Doc), n.Name.Name)
				case *ast.ValueSpec:
					c.forbidOther(specDoc(d, n.Doc), n.Names...)
				case *ast.Field:
					c.forbidOther(n.Doc, n.Names...)
				}
				return true
			})
		}
	}
}

// specDoc returns the doc comment of a spec of d. The comment above a declaration
// without parentheses is that of its only spec.
func specDoc(d *ast.GenDecl, doc *ast.CommentGroup) *ast.CommentGroup {
	if d.Lparen.IsValid() {
		return doc
	}
	return d.Doc
}

// requireName reports doc unless it begins with name.
func (c *checker) requireName(doc *ast.CommentGroup, name string) {
	text := doc.Text()
	pattern := regexp.MustCompile(`^((A|An|The)\s+)?` + regexp.QuoteMeta(name) + `\b`)
	if text != "" && !pattern.MatchString(text) {
		c.report(doc.Pos(), "the doc comment of %s begins with %q", name, firstPattern.FindString(text))
	}
}

// forbidOther reports doc if it begins with a name that is none of names.
func (c *checker) forbidOther(doc *ast.CommentGroup, names ...*ast.Ident) {
	text := doc.Text()
	word := firstPattern.FindString(text)
	isSubject := subjectPattern.MatchString(text) && !pronounPattern.MatchString(word)
	if len(names) == 0 || !mixedPattern.MatchString(word) && !strings.Contains(word, "_") && !isSubject {
		return
	}
	if !slices.ContainsFunc(names, func(n *ast.Ident) bool { return n.Name == word }) {
		c.report(doc.Pos(), "the doc comment of %s begins with %q", names[0].Name, word)
	}
}

// checkWords reports the words in mixed case in the comments of file that are not known.
func (c *checker) checkWords(file *ast.File) {
	for _, group := range file.Comments {
		for _, comment := range group.List {
			if directivePattern.MatchString(comment.Text) {
				continue
			}
			for _, at := range wordPattern.FindAllStringIndex(comment.Text, -1) {
				word := comment.Text[at[0]:at[1]]
				if mixedPattern.MatchString(word) && !c.known[word] && !slices.Contains(properNames, word) {
					c.report(comment.Pos()+token.Pos(at[0]), "%s is no identifier of the tree", word)
				}
			}
		}
	}
}

// report adds a finding at pos.
func (c *checker) report(pos token.Pos, format string, arguments ...any) {
	position := c.set.Position(pos)
	text := fmt.Sprintf(format, arguments...)
	c.findings = append(c.findings, fmt.Sprintf("%s:%d: %s", position.Filename, position.Line, text))
}
