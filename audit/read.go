package audit

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/event"
)

// maxLineBytes is the longest line of a log that is read, in bytes.
const maxLineBytes = 1 << 20

// Read finds the records of one process among the lines of a log stream, which
// is where they outlive the process. All processes' records are returned when
// process is empty. Lines that are not audit records are passed over.
func Read(r io.Reader, process string) ([]Record, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var records []Record
	for lines.Scan() {
		rec, ok := parseLine(lines.Bytes())
		if ok && (process == "" || rec.Process == process) {
			records = append(records, rec)
		}
	}
	return records, errors.Wrap(lines.Err(), "read log")
}

// parseLine reads one line. The line's own time is that of writing; the record's
// stands under "at".
func parseLine(line []byte) (Record, bool) {
	var l struct {
		Record
		Event event.ID  `json:"event"`
		At    time.Time `json:"at"`
	}
	if json.Unmarshal(line, &l) != nil || l.Event != event.AuditRecord {
		return Record{}, false
	}
	l.Record.Time = l.At
	return l.Record, true
}
