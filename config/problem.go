package config

import (
	"fmt"
	"sort"
	"strings"

	celerylanding "celerylanding.example/celerylanding"
)

// ErrInvalid is the type of the error that lists every mistake in the files.
var ErrInvalid = celerylanding.Namespace.NewType("invalid_configuration")

// Problem is one mistake in a file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// String returns the problem as "file:line: field: message".
func (problem Problem) String() string {
	if problem.Field == "" {
		return fmt.Sprintf("%s:%d: %s", problem.File, problem.Line, problem.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", problem.File, problem.Line, problem.Field, problem.Message)
}

// problems collects mistakes, so that one check reports them all.
type problems struct {
	list []Problem
}

func (problems *problems) add(problem Problem) {
	problems.list = append(problems.list, problem)
}

// err returns the collected mistakes in the order of files and lines, or nil.
func (problems *problems) err() error {
	if len(problems.list) == 0 {
		return nil
	}
	sort.SliceStable(problems.list, func(i, j int) bool {
		left, right := problems.list[i], problems.list[j]
		if left.File != right.File {
			return left.File < right.File
		}
		return left.Line < right.Line
	})
	lines := make([]string, 0, len(problems.list))
	for _, problem := range problems.list {
		lines = append(lines, problem.String())
	}
	return ErrInvalid.New("%s", strings.Join(lines, "\n"))
}
