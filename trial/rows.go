package trial

import (
	"fmt"
	"time"
)

// Row is a named trial of a comparison.
type Row struct {
	Name   string
	Config Config
}

// comparedMultiples lists the compared values of Model.Multiple; 0 disables the cap.
var comparedMultiples = []float64{1.1, 1.25, 1.5, 2, 0}

// Rows returns the trials that show the effect of each decision, separately and combined, and the
// trade-off between cache reuse and evenness of load for different multiples.
func Rows() []Row {
	onlyDefault := []float64{1.25}
	var rows []Row
	add := func(name string, multiples []float64, p Policy) {
		for _, m := range multiples {
			rows = append(rows, Row{Name: fmt.Sprintf("%s/multiple=%v", name, m), Config: ChurnConfig(m, p, false)})
		}
	}
	add("naive", onlyDefault, Policy{Naive: true})
	add("hash", comparedMultiples, Policy{})
	add("hint", comparedMultiples, Policy{Hint: true})
	add("hint+home", comparedMultiples, Policy{Hint: true, Home: true})
	add("home", onlyDefault, Policy{Home: true})
	add("home+moved", onlyDefault, Policy{Home: true, FollowMoved: true})
	add("hint+home+know", onlyDefault, Policy{Hint: true, Home: true, ExactCache: true})
	add("hint+home+know+drift", onlyDefault, Policy{Hint: true, Home: true, ExactCache: true, Drift: true})
	add("all", comparedMultiples, FullPolicy)
	return rows
}

// DomainRows returns the trials in which a third of the fleet is taken out of service for 90 s
// and returns with empty caches. Their results start one minute before the domain leaves.
func DomainRows() []Row {
	var rows []Row
	add := func(name string, p Policy) {
		cfg := ChurnConfig(1.25, p, true)
		cfg.Warmup, cfg.Duration = 14*time.Minute, 22*time.Minute
		rows = append(rows, Row{Name: name, Config: cfg})
	}
	add("naive", Policy{Naive: true})
	add("home+know", Policy{Home: true, ExactCache: true})
	add("hint+home+know", Policy{Hint: true, Home: true, ExactCache: true})
	add("all", FullPolicy)
	return rows
}
