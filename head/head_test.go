package head_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chestnutstep.example/chestnutstep/head"
)

// TestCheck guards against bytes that are no answer of HTTP/1 and pass for one.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/heads", func(_ *testing.T, d *datadriven.TestData) string {
		text := strings.ReplaceAll(d.Input, "\n", "\r\n") + "\r\n\r\n"
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return fmt.Sprintf("net/http: %v\n", err)
		}
		if err := head.Check(resp); err != nil {
			return err.Error() + "\n"
		}
		return "valid\n"
	})
}
