package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns the ways in which its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"crashed-stream": crashedStream,
	"foreign-entry":  foreignEntry,
	"partial-entry":  partialEntry,
	"config-storm":   configStorm,
	"queued-run":     queuedRun,
}

// The services and paths of the deployment.
const (
	modelService = "huvo11a"
	deskService  = "wuno96b"
	streamPath   = "/pufi791/2f"
	bookingPath  = "/pule252/2f"
	lookupPath   = "/puxa403/2f"
)

// route returns a route of a configuration.
func route(prefix, kind, service string, timeout, goal, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name":        "r-" + strings.Trim(prefix, "/"),
		"host":        host,
		"path_prefix": prefix,
		"kind":        kind,
		"timeout_ms":  timeout,
		"goal_ms":     goal,
		"priority":    1,
		"service":     service,
		"attempts":    attempts,
		"public":      false,
		"sticky":      resumable,
		"resumable":   resumable,
		"gap_aim_ms":  700,
	}
}

// lookupRoute returns a route like that of the lookups.
func lookupRoute(prefix string) map[string]any {
	return route(prefix, "idempotent", deskService, 1500, 150, 2, false)
}

// configuration returns a configuration of the deployment with further routes.
func configuration(version int, more ...any) []byte {
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": append([]any{
			route("/pufi791/", "streaming", modelService, 25_000, 4500, 5, true),
			route("/pule252/", "non_idempotent", deskService, 1500, 150, 1, false),
			lookupRoute("/puxa403/"),
		}, more...),
		"services": []any{
			map[string]any{
				"name":        modelService,
				"health_path": "/healthz",
				"max_conns":   250,
				"protocol":    "h1",
				"engine": map[string]any{
					"slots":          32,
					"kv_capacity":    engineMemory,
					"token_kv_bytes": 18432,
					"link_mbps":      88000.0,
					"moves":          true,
					"backups":        true,
					"handle_s":       4.0,
					"stride":         8,
					"models": []any{map[string]any{
						"name": "m",
					}},
				},
			},
			map[string]any{
				"name":        deskService,
				"health_path": "/healthz",
				"max_conns":   110,
				"protocol":    "h1",
			},
		},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": []any{map[string]any{
			"name":     "huka270",
			"api_keys": []any{clientKey},
			"priority": 1,
		}},
	})
	return value
}

// startDeployment starts a deployment with the usual configuration.
func startDeployment(f *fleet, models, desks, edges int, modelArgs ...string) error {
	return startDeploymentWith(f, configuration(7), models, desks, edges, modelArgs...)
}

// startDeploymentWith writes the first configuration and starts workers of both services and
// entry processes.
func startDeploymentWith(f *fleet, config []byte, models, desks, edges int, modelArgs ...string) error {
	f.store.put(name("config"), config)
	for i := range models {
		if err := f.startModel(i, 0, modelArgs...); err != nil {
			return err
		}
	}
	for i := range desks {
		process := fmt.Sprintf("desk-%d", i)
		if err := f.startWorker(process, "-id", "i-desk"+fmt.Sprint(i), "-service", deskService, "-zone", zones[i%len(zones)], "-slots", "6"); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	return f.startEdges(edges)
}

// stubbornEvery is the number of model workers of which one does not drop a run when its
// connection closes.
const stubbornEvery = 3

// startModel starts an incarnation of a model worker.
func (f *fleet) startModel(i, incarnation int, args ...string) error {
	all := append([]string{"-id", fmt.Sprintf("i-model%d-%d", i, incarnation), "-service", modelService, "-zone", zones[i%len(zones)]}, args...)
	if i%stubbornEvery == 0 {
		all = append(all, "-stubborn")
	}
	return f.startWorker(fmt.Sprintf("model-%d", i), all...)
}

// streams sends streams of a number of events at a rate until a time has passed, and passes each result to
// check. The returned function waits for the last one.
func (f *fleet) streams(rate float64, length time.Duration, events int, check func(q request, r result)) (wait func()) {
	var group sync.WaitGroup
	group.Go(func() {
		for k := range int(rate * length.Seconds()) {
			group.Go(func() {
				q := request{
					id:       fmt.Sprintf("%016x", 1_000_000_000+f.lastID.Add(1)),
					method:   "POST",
					path:     streamPath,
					body:     []byte("brief"),
					deadline: 25 * time.Second,
					tokens:   fmt.Sprintf("1200,%d", events*eventTokens),
				}
				check(q, f.send(newClient(), k%len(f.edges), q))
			})
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
	})
	return group.Wait
}

// streamEvents is the number of events of a stream.
const streamEvents = 140

// findings collects the ways in which a rule was broken.
type findings struct {
	mutex sync.Mutex
	list  []string
}

func (f *findings) add(format string, a ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, a...))
}

// dayLength is the length of the site's day quiet-1.
const dayLength = 34 * time.Second

// crashZones crashes the model workers of one zone after the other at the times of the
// site's day quiet-1, as often as the day is played, and starts others in their place 1.2 s
// later.
func (f *fleet) crashZones(workers, days int, args ...string) error {
	var times []float64
	for day := range days {
		for _, at := range []float64{5, 11, 18, 24, 31} {
			times = append(times, at+float64(day)*dayLength.Seconds())
		}
	}
	began := time.Now()
	for k, at := range times {
		time.Sleep(time.Until(began.Add(time.Duration(at * float64(time.Second)))))
		for i := k % len(zones); i < workers; i += len(zones) {
			f.signal(fmt.Sprintf("model-%d", i), syscall.SIGKILL)
		}
		time.Sleep(1200 * time.Millisecond)
		for i := k % len(zones); i < workers; i += len(zones) {
			if err := f.startModel(i, k+1, args...); err != nil {
				return err
			}
		}
	}
	return nil
}

// runStreams plays a number of days: it sends streams while model workers crash, if trouble
// is true, and passes each result to check.
func (f *fleet) runStreams(days int, trouble bool, check func(q request, r result), args ...string) error {
	const workers = 12
	if err := startDeployment(f, workers, 1, 3, args...); err != nil {
		return err
	}
	wait := f.streams(9.4, time.Duration(days)*dayLength, streamEvents, check)
	if trouble {
		if err := f.crashZones(workers, days, args...); err != nil {
			return err
		}
	}
	wait()
	return nil
}

// crashedStream crashes the model workers of one zone after the other. One in 20 of their
// streams has neither a length nor chunks. It checks that no stream ends as complete before
// its last event.
func crashedStream(f *fleet, trouble bool) ([]string, error) {
	var broken findings
	err := f.runStreams(2, trouble, func(q request, r result) {
		if events := strings.Count(string(r.body), "\n\n"); r.status == 200 && r.complete && events < streamEvents {
			broken.add("stream %s ended as complete after event %d of %d", q.id, events, streamEvents)
		}
	}, "-unframed", "20")
	return broken.list, err
}
