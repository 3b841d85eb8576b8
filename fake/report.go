package fake

import "time"

// Load is a target's own report, which lags.
type Load struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Cold    bool   `json:"cold"`
	// Lag of this report in seconds.
	Lag float64 `json:"lag"`
	// Crashes since the process began.
	Crashes int `json:"crashes"`
}

type report struct {
	at   time.Time
	load Load
}

// reportLog answers with what was true a lag ago.
type reportLog struct {
	lag time.Duration
	all []report
}

func (r *reportLog) add(now time.Time, l Load) {
	r.all = append(r.all, report{now, l})
	r.trim(now)
}

// trim keeps the newest report that is old enough to be shown, and all after.
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

// load is the present load. The caller holds the lock.
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
