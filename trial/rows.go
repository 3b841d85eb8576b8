package trial

import (
	"fmt"
	"time"
)

// Row is one trial of a comparison.
type Row struct {
	Name   string
	Config Config
}

// curve are the multiples from which operators may choose; 0 is none.
var curve = []float64{1.1, 1.25, 1.5, 2, 0}

// Rows are the trials that show what each decision does, alone and together,
// and the curve of reuse against evenness over the multiple.
func Rows() []Row {
	one := []float64{1.25}
	var rows []Row
	add := func(name string, multiples []float64, p Policy) {
		for _, m := range multiples {
			rows = append(rows, Row{Name: fmt.Sprintf("%s/multiple=%v", name, m), Config: Churn(m, p, false)})
		}
	}
	add("naive", one, Policy{Naive: true})
	add("hash", curve, Policy{})
	add("hint", curve, Policy{Hint: true})
	add("hint+home", curve, Policy{Hint: true, Home: true})
	add("home", one, Policy{Home: true})
	add("home+moved", one, Policy{Home: true, Moved: true})
	add("hint+home+know", one, Policy{Hint: true, Home: true, Know: true})
	add("hint+home+know+drift", one, Policy{Hint: true, Home: true, Know: true, Drift: true})
	add("all", curve, All)
	return rows
}

// DomainRows are the trials in which a third of the fleet leaves for a minute
// and a half and comes back with nothing cached. They count from a minute before
// it leaves.
func DomainRows() []Row {
	var rows []Row
	add := func(name string, p Policy) {
		cfg := Churn(1.25, p, true)
		cfg.Warm, cfg.For = 14*time.Minute, 22*time.Minute
		rows = append(rows, Row{Name: name, Config: cfg})
	}
	add("naive", Policy{Naive: true})
	add("home+know", Policy{Home: true, Know: true})
	add("hint+home+know", Policy{Hint: true, Home: true, Know: true})
	add("all", All)
	return rows
}
