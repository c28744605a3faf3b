package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/target/fake"
)

// histogram records durations in microseconds up to a minute.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func post(client *http.Client, url, body string, header http.Header) error {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, text)
	}
	return err
}

// BenchmarkWarmOverhead alternates between a direct call to the engine and one through a node.
func BenchmarkWarmOverhead(b *testing.B) {
	site := startSite(b, 1, 1, 1)
	site.addTargets(1, 1, time.Millisecond)
	site.submit(0, siteText(1, 1))
	client := &http.Client{}
	body := `{"model":"m0","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	through := site.callers(0) + "/v1/chat/completions"
	site.await("the model is loaded", func() bool { return post(client, through, body, nil) == nil })
	direct := "http://" + site.engines[0].Announcement().Address + "/v1/chat/completions"
	directBody := `{"model":"m0@v","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	times := []*hdrhistogram.Histogram{histogram(), histogram()}
	for b.Loop() {
		for i, call := range []struct{ url, body string }{{direct, directBody}, {through, body}} {
			start := time.Now()
			assert.NilError(b, post(client, call.url, call.body, nil))
			_ = times[i].RecordValue(time.Since(start).Microseconds())
		}
	}
	b.ReportMetric(float64(times[0].ValueAtQuantile(50)), "direct-p50-µs")
	b.ReportMetric(float64(times[0].ValueAtQuantile(99)), "direct-p99-µs")
	b.ReportMetric(float64(times[1].ValueAtQuantile(50)), "through-p50-µs")
	b.ReportMetric(float64(times[1].ValueAtQuantile(99)), "through-p99-µs")
}

// BenchmarkThroughput measures concurrent callers of one node; engine, callers and node share the machine.
func BenchmarkThroughput(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			site := startSite(b, 1, 1, 1)
			site.addTargets(1, 1, time.Millisecond)
			site.submit(0, siteText(1, 1))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			body := `{"model":"m0","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
			url := site.callers(0) + "/v1/chat/completions"
			site.await("the model is loaded", func() bool { return post(client, url, body, nil) == nil })
			b.ReportAllocs()
			runCalls(b, callers, func(int64) error { return post(client, url, body, nil) })
		})
	}
}

// runCalls divides the iterations among callers and reports latency and throughput.
func runCalls(b *testing.B, callers int, call func(number int64) error) {
	b.Helper()
	times := histogram()
	var mutex sync.Mutex
	var next atomic.Int64
	var failed atomic.Int64
	before := cpuTime()
	b.ResetTimer()
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for {
				number := next.Add(1)
				if number > int64(b.N) {
					return
				}
				start := time.Now()
				if call(number) != nil {
					failed.Add(1)
				}
				took := time.Since(start).Microseconds()
				mutex.Lock()
				_ = times.RecordValue(took)
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/call")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// BenchmarkKeyedCalls measures calls with an idempotency key: two commits on three voters with durable writes for each.
func BenchmarkKeyedCalls(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			site := startSite(b, 3, 3, 3)
			site.addTargets(1, 1, time.Millisecond)
			site.submit(0, siteText(1, 1))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			url := site.callers(0) + "/services/ledger/redeem"
			var lastKey atomic.Int64
			key := func() http.Header { return http.Header{"Idempotency-Key": {fmt.Sprintf("k%d", lastKey.Add(1))}} }
			site.await("the service is known", func() bool { return post(client, url, `{"voucher":"v"}`, key()) == nil })
			runCalls(b, callers, func(int64) error { return post(client, url, `{"voucher":"v"}`, key()) })
		})
	}
}

// measureWindow is how long an idle site is measured.
const measureWindow = 5 * time.Second

// BenchmarkControlTraffic measures the control traffic and processor time of each node on idle sites of several sizes.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ nodes, targets int }{{5, 0}, {20, 0}, {50, 0}, {100, 0}, {5, 20}, {20, 20}, {50, 20}, {20, 60}} {
		b.Run(fmt.Sprintf("nodes=%d/targets=%d", size.nodes, size.targets), func(b *testing.B) {
			site := startSite(b, size.nodes, 3, 8)
			site.addTargets(size.targets, 8, time.Millisecond)
			site.submit(0, siteText(1, 100))
			time.Sleep(2 * time.Second)
			for b.Loop() {
				site.measureIdle(b, size.nodes)
			}
		})
	}
}

func (site *site) measureIdle(b *testing.B, nodes int) {
	b.Helper()
	bytesBefore, framesBefore := site.peerTraffic()
	leader := site.leaderNumber()
	leaderBytes := site.nodes[leader].node.PeerTraffic().BytesOut
	cpu := cpuTime()
	time.Sleep(measureWindow)
	used := cpuTime() - cpu
	bytesAfter, framesAfter := site.peerTraffic()
	seconds := measureWindow.Seconds()
	b.ReportMetric(float64(bytesAfter-bytesBefore)/seconds/float64(nodes), "B/s/node")
	b.ReportMetric(float64(framesAfter-framesBefore)/seconds/float64(nodes), "frames/s/node")
	b.ReportMetric(float64(site.nodes[leader].node.PeerTraffic().BytesOut-leaderBytes)/seconds, "leader-B/s")
	b.ReportMetric(100*used.Seconds()/seconds/float64(nodes), "%core/node")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/float64(nodes)/(1<<20), "MiB/node")
}

func (site *site) peerTraffic() (sum, frames int64) {
	for _, member := range site.nodes {
		counters := member.node.PeerTraffic()
		sum += counters.BytesOut
		frames += counters.FramesOut
	}
	return sum, frames
}

func (site *site) leaderNumber() int {
	shown, err := site.show(0)
	assert.NilError(site.t, err)
	for _, status := range shown.Nodes {
		if status.Role == "leader" {
			var number int
			_, _ = fmt.Sscanf(string(status.Node), "n%d", &number)
			return number
		}
	}
	return 0
}

// BenchmarkInForce measures the time from a submission until the revision is in force on every node.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ nodes, models int }{{5, 100}, {20, 100}, {50, 100}, {5, 1000}, {5, 8000}} {
		b.Run(fmt.Sprintf("nodes=%d/models=%d", size.nodes, size.models), func(b *testing.B) {
			site := startSite(b, size.nodes, 3, 8)
			times := histogram()
			revision := 0
			for b.Loop() {
				revision++
				text := siteText(revision, size.models)
				start := time.Now()
				site.submit(0, text)
				site.await("it is in force everywhere", func() bool { return site.allAtRevision(uint64(revision)) })
				_ = times.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(times.Max())/1000, "max-ms")
		})
	}
}

func (site *site) allAtRevision(revision uint64) bool {
	for _, member := range site.nodes {
		if member.node.Revision() != revision {
			return false
		}
	}
	return true
}

// BenchmarkStreamTokens alternates between streaming long responses directly and through a node, and reports the processor time per
// token of each. Engine, caller and node share the process.
func BenchmarkStreamTokens(b *testing.B) {
	const tokens = 2000
	site := startSite(b, 1, 1, 1)
	site.addTargets(1, 1, time.Millisecond)
	site.submit(0, siteText(1, 1))
	client := &http.Client{}
	body := `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`
	through := site.callers(0) + "/v1/chat/completions"
	site.await("the model is loaded", func() bool { return post(client, through, fmt.Sprintf(body, "m0", 1), nil) == nil })
	direct := "http://" + site.engines[0].Announcement().Address + "/v1/chat/completions"
	var used [2]time.Duration
	var took [2]time.Duration
	for b.Loop() {
		for i, call := range []struct{ url, model string }{{direct, "m0@v"}, {through, "m0"}} {
			cpu, start := cpuTime(), time.Now()
			assert.NilError(b, post(client, call.url, fmt.Sprintf(body, call.model, tokens), nil))
			used[i] += cpuTime() - cpu
			took[i] += time.Since(start)
		}
	}
	count := float64(b.N) * tokens
	b.ReportMetric(float64(used[0].Nanoseconds())/count, "direct-cpu-ns/token")
	b.ReportMetric(float64(used[1].Nanoseconds())/count, "through-cpu-ns/token")
	b.ReportMetric(count/took[1].Seconds(), "through-tokens/s")
}

// BenchmarkTakeOver kills the node of a failure domain and measures the time until its engine has carried out the next order, issued
// by another node. Lease timing is the default.
func BenchmarkTakeOver(b *testing.B) {
	for _, row := range []struct {
		name   string
		killed int
	}{{"executor", 2}, {"executor-and-leader", 0}} {
		b.Run(row.name, func(b *testing.B) {
			times := histogram()
			for b.Loop() {
				site := startSite(b, 3, 3, 3)
				site.addTargetIn(row.killed)
				site.submit(0, siteText(1, 1))
				site.await("the engine is known", func() bool {
					shown, err := site.show(1)
					return err == nil && len(shown.Targets) == 1 && site.allAtRevision(1)
				})
				time.Sleep(time.Second)
				client := &http.Client{}
				start := time.Now()
				site.nodes[row.killed].kill()
				url := site.callers(1) + "/v1/chat/completions"
				site.await("the model is loaded", func() bool {
					return post(client, url, `{"model":"m0","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`, nil) == nil
				})
				_ = times.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(times.Min())/1e6, "min-s")
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1e6, "p50-s")
			b.ReportMetric(float64(times.Max())/1e6, "max-s")
		})
	}
}

// addTargetIn starts one engine in the failure domain of a node; the engine announces itself to the other nodes only.
func (site *site) addTargetIn(number int) {
	site.t.Helper()
	listener := listen(site.t)
	engine := fake.NewEngine(fake.EngineOptions{LoadTime: time.Millisecond, Tokens: 1, Announcement: celerylanding.Announcement{
		Target: "e", Incarnation: 1, Kind: celerylanding.KindEngine, Group: "engines",
		Domain:  celerylanding.FailureDomain(fmt.Sprintf("d%d", number)),
		Address: listener.Addr().String(), Memory: 80 * gib, Fencing: true, Slots: 256}})
	var nodes []string
	for i, member := range site.nodes {
		if i != number {
			nodes = append(nodes, member.listeners.Targets.Addr().String())
		}
	}
	site.runHost(fake.NewHost(listener, engine, nodes, time.Second))
}
