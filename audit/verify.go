package audit

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrGap says that records are missing between two that were given.
type ErrGap struct {
	Process string
	// After is the number of the last record before the gap, Before that of
	// the first one behind it.
	After, Before uint64
}

// Error names the records that are missing.
func (e ErrGap) Error() string {
	return fmt.Sprintf("audit trail of %s: records between %d and %d are missing", e.Process, e.After, e.Before)
}

// IsErrGap says whether records are missing.
func IsErrGap(err error) bool {
	var e ErrGap
	return errors.As(err, &e)
}

// ErrAltered says that a record is not what its process wrote.
type ErrAltered struct {
	Process string
	Seq     uint64
}

// Error names the record.
func (e ErrAltered) Error() string {
	return fmt.Sprintf("audit trail of %s: record %d was changed", e.Process, e.Seq)
}

// IsErrAltered says whether a record was changed.
func IsErrAltered(err error) bool {
	var e ErrAltered
	return errors.As(err, &e)
}

// Verify checks that records of one process are whole, in order and unchanged.
// The first may be any: older ones may be kept elsewhere. A chain can't show
// that its newest records are missing; compare its last hash with the one that
// the process itself shows. A process that starts anew begins a new chain at
// number 1, behind what its former life wrote to the same log.
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
