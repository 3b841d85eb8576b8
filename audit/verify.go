package audit

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrGap reports that records are missing between two others.
type ErrGap struct {
	Process string
	// After is the number of the last record before the gap, Before that of
	// the first one after it.
	After, Before uint64
}

// Error returns the numbers of the records around the gap.
func (e ErrGap) Error() string {
	return fmt.Sprintf("audit trail of %s: records between %d and %d are missing", e.Process, e.After, e.Before)
}

// IsErrGap reports whether an error is an ErrGap.
func IsErrGap(err error) bool {
	var e ErrGap
	return errors.As(err, &e)
}

// ErrAltered reports that a record differs from the one that its process wrote.
type ErrAltered struct {
	Process string
	Seq     uint64
}

// Error returns the number of the record.
func (e ErrAltered) Error() string {
	return fmt.Sprintf("audit trail of %s: record %d was changed", e.Process, e.Seq)
}

// IsErrAltered reports whether an error is an ErrAltered.
func IsErrAltered(err error) bool {
	var e ErrAltered
	return errors.As(err, &e)
}

// Verify checks that records of one process are complete, in order and unchanged.
// The first one can have any number, as older ones can be stored elsewhere. A chain can't
// reveal that its newest records are missing: compare its last hash with that of
// the process itself. A restarted process begins a new chain at
// number 1, after its earlier records in the same log.
func Verify(records []Record) error {
	for i, r := range records {
		if r.Hash != r.Sum() {
			return errors.WithStack(ErrAltered{Process: r.Process, Seq: r.Seq})
		}
		if i == 0 {
			continue
		}
		if err := checkLink(records[i-1], r); err != nil {
			return err
		}
	}
	return nil
}

func checkLink(a, b Record) error {
	if b.Process == a.Process && b.Seq == 1 && b.Prev == "" {
		return nil
	}
	if b.Process != a.Process || b.Seq <= a.Seq {
		return errors.WithStack(ErrAltered{Process: b.Process, Seq: b.Seq})
	}
	if b.Seq != a.Seq+1 {
		return errors.WithStack(ErrGap{Process: b.Process, After: a.Seq, Before: b.Seq})
	}
	if b.Prev != a.Hash {
		return errors.WithStack(ErrAltered{Process: b.Process, Seq: b.Seq})
	}
	return nil
}
