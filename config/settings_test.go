package config

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestSettings runs the scripts in testdata/settings. Each contains a file and the resulting
// settings with defaults, or all problems of the file.
func TestSettings(t *testing.T) {
	datadriven.Walk(t, "testdata/settings", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s, err := ParseSettings("f.json", []byte(d.Input), Role(d.Cmd))
			if err != nil {
				assert.Assert(t, IsErrInvalid(err))
				return err.Error() + "\n"
			}
			out, err := json.MarshalIndent(s, "", " ")
			assert.NilError(t, err)
			return string(out) + "\n"
		})
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"name":"e1","peers":["127.0.0.1:1"],"drain":"1s" /* note */,}`))
	f.Add([]byte(`{"host":"h","domain":"a","region":"r","listen":"[::1]:1","admin":"127.0.0.1:2",
		"platform":"http://127.0.0.1","target":{"name":"t","url":"http://[::1]:3"}}`))
	f.Add([]byte(`{"keep":{"bytes":1e400},"tls":null,"streams":-1,"streams":[{}]}`))
	f.Add([]byte("[[[[[[[[[[[[[[[[[[[[[["))
	f.Add([]byte("// \"\n{\"name\":\"\\ud800\"}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, role := range []Role{RoleEntry, RoleAgent} {
			s, err := ParseSettings("f", raw, role)
			if err != nil {
				assert.Assert(t, IsErrInvalid(err), "%v", err)
				continue
			}
			again, err := json.Marshal(s)
			assert.NilError(t, err)
			_, err = ParseSettings("f", again, role)
			assert.NilError(t, err, "valid settings must stay valid when written out")
		}
	})
}
