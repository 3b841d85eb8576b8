package matrix

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkFirstByte measures the time from a request to the first byte of its answer over loopback.
func BenchmarkFirstByte(b *testing.B) {
	s := &Stack{}
	assert.NilError(b, s.Start())
	defer s.Close()
	var sum time.Duration
	n := 0
	for b.Loop() {
		c := Caller{Stack: s, Profile: ProfileChat, Chat: "c", Name: fmt.Sprint("n", n)}
		sum += firstByte(b, &c)
		n++
	}
	b.ReportMetric(float64(sum.Microseconds())/float64(n), "us/first")
}

func firstByte(b *testing.B, c *Caller) time.Duration {
	start := time.Now()
	c.Timeout = attemptTimeout
	rs, err := c.send(context.Background(), 0, c.path(), c.body())
	assert.NilError(b, err)
	defer rs.Body.Close()
	_, err = rs.Body.Read(make([]byte, 1))
	assert.NilError(b, err)
	elapsed := time.Since(start)
	_, _ = io.Copy(io.Discard, rs.Body)
	return elapsed
}
