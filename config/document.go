package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDepth limits the nesting of a document. The parser recurses, so a file of nothing
// but opening brackets would otherwise grow the stack until the process
// crashes. The deepest valid field is at depth 4.
const maxDepth = 16

// document reads JSON with comments into a struct. Unlike encoding/json it
// refuses unknown and repeated fields, continues after an error, and records the line
// of each field, so that later checks can report it.
type document struct {
	file  string
	raw   []byte
	lines map[string]int
	// lineEnds holds the offsets of line ends. Lines are found by binary search in it
	// instead of a scan of the whole file for each value.
	lineEnds []int
	problems problems
}

// read fills the struct that into points to. Fields that could not be read keep
// their value.
func (d *document) read(into any) {
	d.lines = make(map[string]int)
	for i, c := range d.raw {
		if c == '\n' {
			d.lineEnds = append(d.lineEnds, i)
		}
	}
	if !d.checkDepth() {
		return
	}
	v, err := hujson.Parse(d.raw)
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	d.readValue(&v, reflect.ValueOf(into).Elem(), "")
}

// checkDepth refuses documents that are nested too deeply. It counts brackets outside
// of strings; it also counts brackets in comments, which is harmless.
func (d *document) checkDepth() bool {
	depth, quoted := 0, false
	for i := 0; i < len(d.raw); i++ {
		switch c := d.raw[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted && c == '\n':
			quoted = false // a quotation mark in a comment: strings do not span lines
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		}
		if depth > maxDepth {
			d.problems.list = append(d.problems.list, Problem{Line: d.lineAt(i), Text: "nested too deeply"})
			return false
		}
	}
	return true
}

// addSyntaxError converts an error of the parser, which contains the line in its text, to a
// problem at that line.
func (d *document) addSyntaxError(err error) {
	p := Problem{Text: err.Error()}
	var column int
	if _, e := fmt.Sscanf(p.Text, "hujson: line %d, column %d:", &p.Line, &column); e == nil {
		_, p.Text, _ = strings.Cut(p.Text, ": line ")
		_, p.Text, _ = strings.Cut(p.Text, ": ")
	}
	d.problems.list = append(d.problems.list, p)
}

func (d *document) lineAt(offset int) int {
	n, _ := slices.BinarySearch(d.lineEnds, offset)
	return 1 + n
}

func (d *document) readValue(v *hujson.Value, into reflect.Value, path string) {
	d.lines[path] = d.lineAt(v.StartOffset)
	if into.CanAddr() {
		if u, ok := into.Addr().Interface().(json.Unmarshaler); ok {
			d.readCustom(v, u, path)
			return
		}
	}
	switch into.Kind() {
	case reflect.Struct:
		d.readObject(v, into, path)
	case reflect.Slice:
		d.readArray(v, into, path)
	default:
		d.readLiteral(v, into, path)
	}
}

func (d *document) readCustom(v *hujson.Value, u json.Unmarshaler, path string) {
	std := v.Clone()
	std.Minimize()
	if err := u.UnmarshalJSON(std.Pack()); err != nil {
		d.problems.add(path, "%s", err)
	}
}

func (d *document) readObject(v *hujson.Value, into reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problems.add(path, "want an object, got %s", actualType(v))
		return
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := joinPath(path, name)
		field, known := fieldByName(into, name)
		switch {
		case seen[name]:
			d.lines[fieldPath] = d.lineAt(m.Name.StartOffset)
			d.problems.add(fieldPath, "given twice")
		case !known:
			d.lines[fieldPath] = d.lineAt(m.Name.StartOffset)
			d.problems.add(fieldPath, "unknown field; known here: %s", strings.Join(fieldNames(into.Type()), ", "))
		default:
			d.readValue(&m.Value, field, fieldPath)
		}
		seen[name] = true
	}
}

func (d *document) readArray(v *hujson.Value, into reflect.Value, path string) {
	if v.Value.Kind() == 'n' {
		return // encoding/json encodes a nil slice as null
	}
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.problems.add(path, "want a list, got %s", actualType(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.readValue(&arr.Elements[i], into.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *document) readLiteral(v *hujson.Value, into reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if ok && lit.Kind() != 'n' && json.Unmarshal(lit, into.Addr().Interface()) == nil {
		return
	}
	d.problems.add(path, "want %s, got %s", expectedType(into.Kind()), actualType(v))
}

// mergeProblems returns all problems with file and line filled in. A problem found by
// checks, which has only a path, is omitted if the same field could not be read. All of
// them are omitted if the whole file could not be read.
func (d *document) mergeProblems(checked []Problem) error {
	failed := make(map[string]bool, len(d.problems.list))
	for _, p := range d.problems.list {
		failed[p.Path] = true
	}
	for _, p := range checked {
		if !failed[p.Path] && !failed[""] {
			d.problems.list = append(d.problems.list, p)
		}
	}
	for i := range d.problems.list {
		p := &d.problems.list[i]
		p.File = d.file
		if p.Line == 0 {
			p.Line = d.fieldLine(p.Path)
		}
	}
	slices.SortStableFunc(d.problems.list, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems.err()
}

// fieldLine returns the line of a field or, if it is missing, of the value that contains it.
func (d *document) fieldLine(path string) int {
	for {
		if n, ok := d.lines[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return max(d.lines[""], 1)
		}
		path = path[:i]
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldByName finds the field that encoding/json encodes under the given name.
func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func expectedType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number from 0 up"
	default:
		return "a whole number"
	}
}

func actualType(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case 'n':
		return "null"
	case '"':
		return "text"
	default:
		return string(v.Value.(hujson.Literal))
	}
}
