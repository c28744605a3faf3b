package config

import (
	"fmt"
	"sort"
	"strings"

	celerylanding "celerylanding.example/celerylanding"
)

// ErrInvalid is the type of the error that lists every problem found in a configuration.
var ErrInvalid = celerylanding.ErrorNamespace.NewType("invalid_configuration")

// Problem is one validation error, with its position in a configuration file.
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

// problems collects validation errors, so that one run reports all of them.
type problems struct {
	list []Problem
}

func (problems *problems) add(problem Problem) {
	problems.list = append(problems.list, problem)
}

// err returns one error with all problems, sorted by file and line, or nil if there are none.
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
