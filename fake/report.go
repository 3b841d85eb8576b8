package fake

import "time"

// Load is a target's load report. An engine reports it with a delay.
type Load struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Cold    bool   `json:"cold"`
	// Lag is the delay of the report in seconds.
	Lag float64 `json:"lag"`
	// Crashes is the number of crashes since the process started.
	Crashes int `json:"crashes"`
}

type report struct {
	at   time.Time
	load Load
}

// reportLog delays load reports by lag.
type reportLog struct {
	lag time.Duration
	all []report
}

func (r *reportLog) add(now time.Time, l Load) {
	r.all = append(r.all, report{now, l})
	r.trim(now)
}

// trim drops all reports older than the newest one whose age is at least the lag.
func (r *reportLog) trim(now time.Time) {
	n := 0
	for n+1 < len(r.all) && now.Sub(r.all[n+1].at) >= r.lag {
		n++
	}
	r.all = r.all[n:]
}

func (r *reportLog) at(now time.Time) Load {
	r.trim(now)
	if len(r.all) == 0 || now.Sub(r.all[0].at) < r.lag {
		return Load{}
	}
	return r.all[0].load
}

// load returns the current load. The caller holds e.mu.
func (e *Engine) load() Load {
	return Load{
		Boot:    e.boot,
		Running: len(e.batch),
		Waiting: len(e.queue),
		Cold:    e.cold(),
		Lag:     e.ReportLag.Seconds(),
		Crashes: e.bootCount - 1,
	}
}
