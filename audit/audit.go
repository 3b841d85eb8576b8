// Package audit records the changes that operators trace later: publications that were put
// in force, and failure domains, hosts and targets that were taken out of service, with their
// causes. Records are numbered and chained by hash, so that lost or altered ones are detected.
package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"
)

// Kind is the kind of change that a record describes.
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
	KindCondemned Kind = "condemned" // the crash state of a content changed
)

// Record is one change. The trail sets Time, Seq, Process, Prev and Hash.
type Record struct {
	Process string    `json:"process"`
	Seq     uint64    `json:"seq"`
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	// Subject is the name of the changed item, unique within its kind.
	Subject string `json:"subject"`
	// Cause is the cause of the change.
	Cause  string `json:"cause"`
	Before string `json:"before"`
	After  string `json:"after"`
	// Version of the publication in force after the change.
	Version uint64 `json:"version"`
	// Prev is the hash of the previous record; empty for the first.
	Prev string `json:"prev"`
	Hash string `json:"hash"`
}

// Sum computes the hash of a record over all its other fields. Each field is
// preceded by its length, so that moving text from one field into the
// next changes the hash.
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
