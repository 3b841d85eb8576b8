package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/fleet"
)

// sample holds the cumulative resource usage, gossip bytes and platform calls of the
// processes at one time.
type sample struct {
	agents    int // number of agents, which come first in usage and gossip; entries follow
	usageAt   time.Time
	usage     []fleet.Usage
	metricsAt time.Time
	gossip    []float64
	calls     fake.Calls
}

// begin takes the sample at the beginning of a measurement. It reads the metrics
// before the usage, so that the CPU time excludes serving the metrics.
func (s *sample) begin(ctx context.Context, f *fleet.Fleet) error {
	s.agents = len(f.Targets)
	if err := s.readMetrics(ctx, f); err != nil {
		return err
	}
	return s.readUsage(f)
}

// end takes the sample at the end of a measurement. It reads the metrics after the
// usage, for the same reason.
func (s *sample) end(ctx context.Context, f *fleet.Fleet) error {
	s.agents = len(f.Targets)
	if err := s.readUsage(f); err != nil {
		return err
	}
	return s.readMetrics(ctx, f)
}

// readUsage reads CPU time and memory from /proc.
func (s *sample) readUsage(f *fleet.Fleet) error {
	var err error
	s.usageAt = time.Now()
	s.usage, err = usages(processes(f))
	return err
}

// readMetrics reads the call counts of the platform and the gossip counters of each
// process.
func (s *sample) readMetrics(ctx context.Context, f *fleet.Fleet) error {
	s.metricsAt = time.Now()
	if err := readJSON(ctx, "http://"+f.Platform.Address+"/control/calls", &s.calls); err != nil {
		return err
	}
	for _, p := range processes(f) {
		n, err := gossipBytes(ctx, p)
		if err != nil {
			return errors.Wrap(err, p.Name)
		}
		s.gossip = append(s.gossip, n)
	}
	return nil
}

func read(ctx context.Context, url string) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	return w.Body, nil
}

func readJSON(ctx context.Context, url string, v any) error {
	body, err := read(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	return json.NewDecoder(body).Decode(v)
}

// gossipBytes returns the number of gossip bytes that a process has sent and received.
func gossipBytes(ctx context.Context, p *fleet.Process) (float64, error) {
	body, err := read(ctx, "http://"+p.Admin+"/metrics")
	if err != nil {
		return 0, err
	}
	defer body.Close()
	var sum float64
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "#") || !strings.Contains(line, "gossip_bytes_total{") {
			continue
		}
		n, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, lines.Err()
}

// print writes the CPU time, gossip bytes and platform calls per second since an
// earlier sample, and the resident memory.
func (s *sample) print(w io.Writer, before *sample) {
	usageSeconds, metricsSeconds := s.usageAt.Sub(before.usageAt).Seconds(), s.metricsAt.Sub(before.metricsAt).Seconds()
	var cpu, bytes, resident []float64
	for i := range s.usage {
		cpu = append(cpu, 100*(s.usage[i].CPU-before.usage[i].CPU).Seconds()/usageSeconds)
		bytes = append(bytes, (s.gossip[i]-before.gossip[i])/metricsSeconds)
		resident = append(resident, float64(s.usage[i].Resident)/(1<<20))
	}
	fmt.Fprintf(w, "at rest for %.1f s: median and worst process\n", usageSeconds)
	for _, part := range []struct {
		name     string
		from, to int
	}{{"agent", 0, s.agents}, {"entry", s.agents, len(cpu)}} {
		c, b, r := cpu[part.from:part.to], bytes[part.from:part.to], resident[part.from:part.to]
		fmt.Fprintf(w, "  %s: %s %% of a core, %s bytes/s of gossip, %s MB resident\n",
			part.name, medianAndMax(c, 2), medianAndMax(b, 0), medianAndMax(r, 1))
	}
	fmt.Fprintf(w, "  calls to the platform: %.1f/s\n", float64(s.total()-before.total())/metricsSeconds)
}

// total returns the number of served platform calls of all kinds, all of which count
// against the read budget.
func (s *sample) total() int64 {
	return s.calls.Read + s.calls.Watch + s.calls.Hosts
}

// medianAndMax formats the median and the maximum.
func medianAndMax(x []float64, digits int) string {
	x = slices.Clone(x)
	slices.Sort(x)
	return fmt.Sprintf("%.*f (%.*f)", digits, x[len(x)/2], digits, x[len(x)-1])
}
