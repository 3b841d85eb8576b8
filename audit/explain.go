package audit

import "time"

// Query selects the records that affected a target at a given time.
type Query struct {
	Target string
	Host   string
	Domain string
	Model  string
	// Content is a fingerprint in hex, for a refused content.
	Content string
	// At is the time to explain.
	At time.Time
}

// Explain returns the newest record up to the time q.At for each subject that affects
// the target: the publication, its failure domain, its host, its own state and its limits.
// The records explain why a chat was moved or a request refused: the refusal contains
// the target and the reason, and the records contain the change that caused the reason.
func Explain(records []Record, q Query) []Record {
	newest := make(map[subject]int)
	for i, r := range records {
		if s := subjectOf(r); !r.Time.After(q.At) && q.matches(s) {
			newest[s] = i
		}
	}
	var out []Record
	for i, r := range records {
		if j, ok := newest[subjectOf(r)]; ok && i == j {
			out = append(out, r)
		}
	}
	return out
}

type subject struct {
	kind Kind
	name string
}

func subjectOf(r Record) subject { return subject{r.Kind, r.Subject} }

func (q Query) matches(s subject) bool {
	switch s.kind {
	case KindAccepted:
		return true
	case KindDomain:
		return s.name == q.Domain
	case KindHost:
		return s.name == q.Host
	case KindTarget, KindOrder:
		return s.name == q.Target
	case KindLimits:
		return s.name == "model "+q.Model
	case KindCondemned:
		return s.name == q.Content
	default:
		return false
	}
}
