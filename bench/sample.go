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

// sample is what the processes used and sent up to a moment.
type sample struct {
	agents    int // the first of the processes; entries follow
	usageAt   time.Time
	usage     []fleet.Usage
	metricsAt time.Time
	gossip    []float64
	calls     fake.Calls
}

// begin reads the pages first, so that answering them is not in the CPU time.
func (s *sample) begin(ctx context.Context, f *fleet.Fleet) error {
	s.agents = len(f.Targets)
	if err := s.readMetrics(ctx, f); err != nil {
		return err
	}
	return s.readUsage(f)
}

// end reads the pages last, for the same reason.
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

// readMetrics reads the counters of the platform and of each process.
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

// gossipBytes adds up both ways of a process's control messages with peers.
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

// print gives what each process used since an earlier sample.
func (s *sample) print(w io.Writer, before *sample) {
	d, paged := s.usageAt.Sub(before.usageAt).Seconds(), s.metricsAt.Sub(before.metricsAt).Seconds()
	var cpu, bytes, resident []float64
	for i := range s.usage {
		cpu = append(cpu, 100*(s.usage[i].CPU-before.usage[i].CPU).Seconds()/d)
		bytes = append(bytes, (s.gossip[i]-before.gossip[i])/paged)
		resident = append(resident, float64(s.usage[i].Resident)/(1<<20))
	}
	fmt.Fprintf(w, "at rest for %.1f s: median and worst process\n", d)
	for _, part := range []struct {
		name     string
		from, to int
	}{{"agent", 0, s.agents}, {"entry", s.agents, len(cpu)}} {
		c, b, r := cpu[part.from:part.to], bytes[part.from:part.to], resident[part.from:part.to]
		fmt.Fprintf(w, "  %s: %s %% of a core, %s bytes/s of gossip, %s MB resident\n",
			part.name, medianAndMax(c, 2), medianAndMax(b, 0), medianAndMax(r, 1))
	}
	fmt.Fprintf(w, "  calls to the platform: %.1f/s\n", float64(s.total()-before.total())/paged)
}

// total counts every call, as the service's budget does.
func (s *sample) total() int64 {
	return s.calls.Read + s.calls.Watch + s.calls.Hosts
}

// medianAndMax formats the median and the greatest.
func medianAndMax(x []float64, digits int) string {
	x = slices.Clone(x)
	slices.Sort(x)
	return fmt.Sprintf("%.*f (%.*f)", digits, x[len(x)/2], digits, x[len(x)-1])
}
