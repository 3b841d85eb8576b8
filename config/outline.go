package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Outline holds the lines of the fields of a JSON file that another program decodes with
// encoding/json, and the fields that don't fit the struct it is decoded into. Unlike the files
// that document reads, such a file may have fields that this version doesn't know.
type Outline struct {
	// Unused lists paths without indexes of fields that are valid but not in the struct.
	Unused []string

	doc      document
	problems []Problem
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// Read compares the file with the type of the struct that into points to. It does not change
// the struct.
func (o *Outline) Read(file string, raw []byte, into any) {
	o.doc = document{file: file, raw: raw, lines: make(map[string]int)}
	for i, c := range raw {
		if c == '\n' {
			o.doc.lineEnds = append(o.doc.lineEnds, i)
		}
	}
	if err := json.Unmarshal(raw, new(json.RawMessage)); err != nil {
		o.addSyntaxError(err)
		return
	}
	// The parser recurses; encoding/json has limited the depth.
	v, err := hujson.Parse(raw)
	if err != nil {
		o.add(SeverityError, "", "%s", err)
		return
	}
	o.walk(&v, reflect.TypeOf(into).Elem(), "")
}

// Merge adds the problems that checks found to those of the outline, with file and line filled in
// and sorted by line. It omits problems in fields that could not be read.
func (o *Outline) Merge(checked []Problem) []Problem {
	list := slices.Clone(o.problems)
	for _, p := range checked {
		if !o.IsBroken(p.Path) {
			list = append(list, p)
		}
	}
	for i := range list {
		p := &list[i]
		p.File = o.doc.file
		if p.Line == 0 {
			p.Line = o.doc.fieldLine(p.Path)
		}
	}
	slices.SortStableFunc(list, func(a, b Problem) int { return a.Line - b.Line })
	return list
}

// Has reports whether the file has the field.
func (o *Outline) Has(path string) bool {
	_, ok := o.doc.lines[path]
	return ok
}

// IsBroken reports whether the field or a value that contains it could not be read.
func (o *Outline) IsBroken(path string) bool {
	return slices.ContainsFunc(o.problems, func(p Problem) bool {
		if p.Severity != SeverityError {
			return false
		}
		rest, ok := strings.CutPrefix(path, p.Path)
		return ok && (p.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

func (o *Outline) add(severity Severity, path, format string, args ...any) {
	o.problems = append(o.problems, Problem{Severity: severity, Path: path, Text: fmt.Sprintf(format, args...)})
}

func (o *Outline) addSyntaxError(err error) {
	p := Problem{Severity: SeverityError, Text: err.Error()}
	if e := new(json.SyntaxError); errors.As(err, &e) {
		end := len(strings.TrimRight(string(o.doc.raw), "\r\n"))
		p.Line = o.doc.lineAt(max(min(int(e.Offset)-1, end-1), 0))
	}
	o.problems = append(o.problems, p)
}

func (o *Outline) walk(v *hujson.Value, t reflect.Type, path string) {
	o.doc.lines[path] = o.doc.lineAt(v.StartOffset)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if v.Value.Kind() == 'n' || reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return // encoding/json accepts null for each type, and leaves raw values unread
	}
	switch obj, isObject := v.Value.(*hujson.Object); {
	case t.Kind() == reflect.Struct && isObject:
		o.walkObject(obj, t, path)
	case t.Kind() == reflect.Slice && v.Value.Kind() == '[':
		for i := range v.Value.(*hujson.Array).Elements {
			o.walk(&v.Value.(*hujson.Array).Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		lit, ok := v.Value.(hujson.Literal)
		if !ok || json.Unmarshal(lit, reflect.New(t).Interface()) != nil {
			o.add(SeverityError, path, "want %s, got %s", wantedType(t), describeValue(v))
		}
	}
}

func (o *Outline) walkObject(obj *hujson.Object, t reflect.Type, path string) {
	if t.NumField() == 0 {
		return // only its presence counts
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := matchField(t, name)
		known := name
		if ok {
			known = jsonName(field)
		}
		fieldPath := joinPath(path, known)
		if seen[known] {
			o.problems = append(o.problems, Problem{
				Severity: SeverityError, Line: o.doc.lineAt(m.Name.StartOffset), Path: fieldPath, Text: "given twice",
			})
			continue
		}
		seen[known] = true
		o.doc.lines[fieldPath] = o.doc.lineAt(m.Name.StartOffset)
		if !ok {
			o.addUnknown(fieldPath, name, t)
			continue
		}
		if name != known {
			o.add(SeverityWarning, fieldPath, "spelled %q: other readers may not recognize it", name)
		}
		o.walk(&m.Value, field.Type, fieldPath)
	}
}

// addUnknown reports a field that the struct does not have. A name that resembles a known one is an
// error, as the value would be ignored; any other may come from a later version of the format.
func (o *Outline) addUnknown(path, name string, t reflect.Type) {
	if slices.Contains(o.Unused, indexPattern.ReplaceAllString(path, "")) {
		return
	}
	for _, known := range fieldNames(t) {
		if isMisspelled(name, known) {
			o.add(SeverityError, path, "unknown field; did you mean %q?", known)
			return
		}
	}
	o.add(SeverityWarning, path, "unknown field: it is ignored")
}

// matchField finds a field as encoding/json does, regardless of case.
func matchField(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if strings.EqualFold(jsonName(t.Field(i)), name) {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// maxTypos is the edit distance up to which a name counts as misspelled. 2 covers two exchanged
// letters.
const maxTypos = 2

// isMisspelled reports whether a name differs from a known one by few edits. Names need more than
// twice as many letters, as short ones resemble each other.
func isMisspelled(name, known string) bool {
	a, b := strings.ToLower(name), strings.ToLower(known)
	return min(len(a), len(b)) > 2*maxTypos && editDistance(a, b) <= maxTypos
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}

func wantedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	default:
		return expectedType(t.Kind())
	}
}

// describeValue names the type of a value. It does not quote the value, which may be a key.
func describeValue(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '0':
		return "another number"
	case 't', 'f':
		return "true or false"
	default:
		return actualType(v)
	}
}
