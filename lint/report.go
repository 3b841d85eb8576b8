package lint

import (
	"encoding/json"
	"fmt"
	"io"

	"chestnutstep.example/chestnutstep/config"
)

// Report is the result of a check. Its JSON names are stable, as scripts read them.
type Report struct {
	File string `json:"file"`
	// Against is the file of the configuration in force; empty for none.
	Against     string           `json:"against,omitempty"`
	Errors      int              `json:"errors"`
	Warnings    int              `json:"warnings"`
	Findings    []config.Problem `json:"findings"`
	Differences []Difference     `json:"differences"`

	// fine lists files without findings.
	fine []string
}

// Add adds the problems of a file to the findings. The file is empty for arguments.
func (r *Report) Add(file string, problems ...config.Problem) {
	if len(problems) == 0 && file != "" {
		r.fine = append(r.fine, file)
	}
	for _, p := range problems {
		if p.Severity == config.SeverityWarning {
			r.Warnings++
		} else {
			p.Severity = config.SeverityError
			r.Errors++
		}
		r.Findings = append(r.Findings, p)
	}
}

// WriteText writes one line for each finding, each difference and each file without findings.
func (r *Report) WriteText(w io.Writer) {
	for _, p := range r.Findings {
		fmt.Fprintln(w, p)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s: %s\n", r.File, d)
	}
	for _, file := range r.fine {
		fmt.Fprintf(w, "%s is fine\n", file)
	}
}

// WriteJSON writes the report as one object.
func (r *Report) WriteJSON(w io.Writer) error {
	out := *r
	// Scripts iterate over both lists, so neither is null.
	out.Findings = append([]config.Problem{}, r.Findings...)
	out.Differences = append([]Difference{}, r.Differences...)
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(out)
}
