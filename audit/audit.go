// Package audit keeps the trail of changes that operators may ask about later:
// which publication was put in force, what was taken out of service and why.
package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"
)

// Kind says what a record is about.
type Kind string

// The kinds of records.
const (
	KindAccepted  Kind = "accepted"  // a publication was put in force
	KindRefused   Kind = "refused"   // a publication was refused
	KindDomain    Kind = "domain"    // a failure domain's state changed
	KindHost      Kind = "host"      // a host's state changed
	KindTarget    Kind = "target"    // a target's state changed
	KindLimits    Kind = "limits"    // limits of a model, workspace, profile or budget changed
	KindOrder     Kind = "order"     // an order to an engine
	KindCondemned Kind = "condemned" // a content was judged
)

// Record is one change. Time, Seq, Process, Prev and Hash are filled in by the
// trail.
type Record struct {
	Process string    `json:"process"`
	Seq     uint64    `json:"seq"`
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	// Subject is the name of what changed, unique within its kind.
	Subject string `json:"subject"`
	// Cause is what led to the change.
	Cause  string `json:"cause"`
	Before string `json:"before"`
	After  string `json:"after"`
	// Version of the publication in force after the change.
	Version uint64 `json:"version"`
	// Prev is the hash of the record before; empty for the first.
	Prev string `json:"prev"`
	Hash string `json:"hash"`
}

// Sum computes the hash of a record over all its other fields. Each field is
// preceded by its length, so that text can't move from one field into the
// next without being seen.
func (r Record) Sum() string {
	h := sha256.New()
	hashText(h, r.Process)
	hashNumber(h, r.Seq)
	hashNumber(h, uint64(r.Time.UnixNano()))
	hashText(h, string(r.Kind))
	hashText(h, r.Subject)
	hashText(h, r.Cause)
	hashText(h, r.Before)
	hashText(h, r.After)
	hashNumber(h, r.Version)
	hashText(h, r.Prev)
	return hex.EncodeToString(h.Sum(nil))
}

func hashText(h hash.Hash, s string) {
	hashNumber(h, uint64(len(s)))
	h.Write([]byte(s))
}

func hashNumber(h hash.Hash, n uint64) {
	h.Write(binary.BigEndian.AppendUint64(nil, n))
}
