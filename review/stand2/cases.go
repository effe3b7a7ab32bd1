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
}

// The services and paths of the deployment.
const (
	modelService = "huvo11a"
	deskService  = "wuno96b"
	streamPath   = "/pufi791/2f"
	bookingPath  = "/pule252/2f"
	lookupPath   = "/puxa403/2f"
)

// configuration returns a configuration of the deployment.
func configuration(version int) []byte {
	route := func(prefix, kind, service string, timeout, goal, attempts int, resumable bool) map[string]any {
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
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("/pufi791/", "streaming", modelService, 25_000, 4500, 5, true),
			route("/pule252/", "non_idempotent", deskService, 1500, 150, 1, false),
			route("/puxa403/", "idempotent", deskService, 1500, 150, 2, false),
		},
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
					"moves":          false,
					"backups":        false,
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

// startDeployment writes the first configuration and starts workers of both services and
// entry processes.
func startDeployment(f *fleet, models, desks, edges int, modelArgs ...string) error {
	f.store.put(name("config"), configuration(7))
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

// startModel starts an incarnation of a model worker.
func (f *fleet) startModel(i, incarnation int, args ...string) error {
	all := append([]string{"-id", fmt.Sprintf("i-model%d-%d", i, incarnation), "-service", modelService, "-zone", zones[i%len(zones)]}, args...)
	return f.startWorker(fmt.Sprintf("model-%d", i), all...)
}

// streams sends streams at a rate until a time has passed, and passes each result to
// check. The returned function waits for the last one.
func (f *fleet) streams(rate float64, length time.Duration, check func(q request, r result)) (wait func()) {
	var group sync.WaitGroup
	group.Go(func() {
		for k := range int(rate * length.Seconds()) {
			group.Go(func() {
				q := request{
					id:       fmt.Sprintf("%016x", 1_000_000_000+k),
					method:   "POST",
					path:     streamPath,
					body:     []byte("brief"),
					deadline: 25 * time.Second,
					tokens:   fmt.Sprintf("1200,%d", streamEvents*eventTokens),
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

// crashedStream crashes the model workers of one zone after the other. One in 20 of their
// streams has neither a length nor chunks. It checks that no stream ends as complete before
// its last event.
func crashedStream(f *fleet, trouble bool) ([]string, error) {
	const workers = 12
	args := []string{"-unframed", "20"}
	if err := startDeployment(f, workers, 1, 3, args...); err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var broken []string
	wait := f.streams(9.4, 34*time.Second, func(q request, r result) {
		events := strings.Count(string(r.body), "\n\n")
		if r.status != 200 || !r.complete || events == streamEvents {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		broken = append(broken, fmt.Sprintf("stream %s ended as complete after event %d of %d", q.id, events, streamEvents))
	})
	began := time.Now()
	for k, at := range []float64{5, 11, 18, 24, 31} {
		if !trouble {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(at * float64(time.Second)))))
		for i := k % len(zones); i < workers; i += len(zones) {
			f.signal(fmt.Sprintf("model-%d", i), syscall.SIGKILL)
		}
		time.Sleep(1200 * time.Millisecond)
		for i := k % len(zones); i < workers; i += len(zones) {
			if err := f.startModel(i, k+1, args...); err != nil {
				return nil, err
			}
		}
	}
	wait()
	return broken, nil
}
