package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"strings"
)

// check returns the number of rows with tests, and a fault for each test that
// the tree does not hold.
func check(tree fs.FS, rows []row) (proved int, faults []error) {
	for _, r := range rows {
		if len(r.tests) == 0 {
			continue
		}
		proved++
		functions, err := testFunctions(tree, r.folder)
		if err != nil {
			faults = append(faults, fmt.Errorf("line %d: %w", r.line, err))
			continue
		}
		for _, name := range r.tests {
			if !exists(tree, r.folder, functions, name) {
				faults = append(faults, fmt.Errorf("line %d: %s has no %s", r.line, r.folder, name))
			}
		}
	}
	return proved, faults
}

// exists reports whether name is a test function or a scenario file of the
// package in folder.
func exists(tree fs.FS, folder string, functions map[string]bool, name string) bool {
	if !strings.HasSuffix(name, ".txtar") && !strings.HasSuffix(name, ".txt") {
		return functions[name]
	}
	found := false
	_ = fs.WalkDir(tree, path.Join(folder, "testdata"), func(file string, _ fs.DirEntry, err error) error {
		found = found || err == nil && path.Base(file) == name
		return err
	})
	return found
}

// testFunctions returns the functions in the test files of folder.
func testFunctions(tree fs.FS, folder string) (map[string]bool, error) {
	files, err := fs.Glob(tree, path.Join(folder, "*_test.go"))
	if err != nil {
		return nil, err
	}
	functions := make(map[string]bool)
	for _, file := range files {
		text, err := fs.ReadFile(tree, file)
		if err != nil {
			return nil, err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, text, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				functions[f.Name.Name] = true
			}
		}
	}
	if len(functions) == 0 {
		return nil, fmt.Errorf("%q has no tests", folder)
	}
	return functions, nil
}
