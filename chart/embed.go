package chart

import _ "embed" // the chart files are part of the program

//go:embed target.chart
var targetText string

//go:embed publication.chart
var publicationText string

// Target is the life of a target as the agent beside it sees it.
var Target = MustParse(targetText)

// Publication is the life of one version of the configuration at a process.
var Publication = MustParse(publicationText)
