package audit

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/event"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Read returns the audit records of one process from a log stream, where they remain after
// the process has ended. If process is empty, it returns those of all processes. Other
// lines are skipped.
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

// parseLine decodes one line. The time of the line is the time of writing; that of the record
// is in the field "at".
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
