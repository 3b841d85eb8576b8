package chart

import (
	"fmt"
	"strings"
)

// Doc returns the chart as Markdown: a Mermaid diagram and tables of states and
// transitions. A test compares the documentation with it, so that it stays
// consistent with the code.
func (c *Chart) Doc() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n", c.Text)
	c.diagram(&b)
	b.WriteString("\n| State | Meaning |\n|---|---|\n")
	for _, s := range c.States {
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, s.Text)
	}
	b.WriteString("\n| From | Event | To | When |\n|---|---|---|---|\n")
	for _, m := range c.Transitions {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", m.From, m.Event, m.To, m.Text)
	}
	return b.String()
}

func (c *Chart) diagram(b *strings.Builder) {
	b.WriteString("```mermaid\nstateDiagram-v2\n")
	fmt.Fprintf(b, "    [*] --> %s\n", c.InitialState())
	for _, m := range c.Transitions {
		fmt.Fprintf(b, "    %s --> %s: %s\n", m.From, m.To, m.Event)
	}
	for _, s := range c.States {
		if s.Final {
			fmt.Fprintf(b, "    %s --> [*]\n", s.Name)
		}
	}
	b.WriteString("```\n")
}
