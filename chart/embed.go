package chart

import _ "embed" // for the go:embed directives

//go:embed target.chart
var targetText string

//go:embed publication.chart
var publicationText string

// Target is the state chart of a target as observed by its agent.
var Target = MustParse(targetText)

// Publication is the state chart of one version of the publication in a
// process.
var Publication = MustParse(publicationText)
