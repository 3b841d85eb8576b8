package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestCheckRouting runs the script in testdata/routing. "file" keeps a file. "check" changes
// base.json by its lines "old => new" and checks the result; its arguments are the flags. It also
// guards against keys in any output.
func TestCheckRouting(t *testing.T) {
	files := make(map[string]string)
	datadriven.RunTest(t, "testdata/routing", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "file" {
			files[d.CmdArgs[0].Key] = d.Input + "\n"
			return ""
		}
		t.Chdir(t.TempDir())
		for name, content := range files {
			assert.NilError(t, os.WriteFile(name, []byte(content), 0o600))
		}
		changed := files["base.json"]
		for line := range strings.Lines(d.Input) {
			from, to, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " =>")
			assert.Assert(t, ok && strings.Contains(changed, from), line)
			changed = strings.Replace(changed, from, strings.TrimPrefix(to, " "), 1)
		}
		assert.NilError(t, os.WriteFile("new.json", []byte(changed), 0o600))
		var out strings.Builder
		err := parseOptions(t, d).run(&out)
		if IsErrUsage(err) {
			fmt.Fprintln(&out, err)
		}
		assert.Assert(t, !strings.Contains(out.String(), "secret-"), out.String())
		return fmt.Sprintf("%sstatus %d\n", out.String(), exitStatus(err))
	})
}

func parseOptions(t *testing.T, d *datadriven.TestData) *checkOptions {
	o := &checkOptions{routing: "new.json"}
	if d.HasArg("unrouted") {
		o.routing = ""
	}
	for name, p := range map[string]*string{
		"file": &o.file, "routing": &o.routing, "against": &o.against, "targets": &o.targets, "settings": &o.settings, "deploy": &o.deploy,
	} {
		d.MaybeScanArgs(t, name, p)
	}
	o.json, o.strict = d.HasArg("json"), d.HasArg("strict")
	if d.HasArg("hedge") {
		d.ScanArgs(t, "hedge", &o.hedgePercent)
	}
	return o
}
