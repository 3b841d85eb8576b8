package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Severity tells whether a file with the problem can be used. It is empty where all problems are
// errors.
type Severity string

// The severities of a problem.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Problem is one mistake in a file or a publication.
type Problem struct {
	Severity Severity `json:"severity"`
	// File is the name of the file; empty for a publication that came
	// from the platform or a peer.
	File string `json:"file"`
	// Line counts from 1; 0 if the content has no lines.
	Line int `json:"line"`
	// Path is the field, such as "targets[3].host"; empty for the whole file.
	Path string `json:"path"`
	Text string `json:"text"`
}

// String formats the problem like compiler errors, so that editors can jump to it.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Severity != "" {
		fmt.Fprintf(&b, "%s: ", p.Severity)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Text)
	return b.String()
}

// ErrInvalid reports that a file or a publication breaks the rules. It lists all
// problems, in the order of the content.
type ErrInvalid struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (err ErrInvalid) Error() string {
	lines := make([]string, len(err.Problems))
	for i, p := range err.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether an error is an ErrInvalid.
func IsErrInvalid(err error) bool {
	return errors.As(err, new(ErrInvalid))
}

// problems collects the mistakes of one document.
type problems struct {
	list []Problem
}

func (ps *problems) add(path, format string, args ...any) {
	ps.list = append(ps.list, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// err returns an ErrInvalid with all problems, or nil if there are none.
func (ps *problems) err() error {
	if len(ps.list) == 0 {
		return nil
	}
	return ErrInvalid{Problems: ps.list}
}
