package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// valueBytes is the largest value of the store (value_bytes).
	valueBytes = 1 << 20
	// applyTime is the time in which a configuration must be in force (config_apply_ms).
	applyTime = 2500 * time.Millisecond
	// stormGap and stormTime are those of the site's largest storm of configurations.
	stormGap  = 80 * time.Millisecond
	stormTime = 2 * time.Second
)

// configStorm writes versions of a large configuration in quick succession, or only one if
// trouble is false. The last one adds a route. It checks that the route is served
// config_apply_ms after the store has acknowledged it.
func configStorm(f *fleet, trouble bool) ([]string, error) {
	idle := idleRoutes()
	if err := startDeploymentWith(f, configuration(100, idle...), 0, 3, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	versions := 1
	if trouble {
		versions += int(stormTime / stormGap)
	}
	values := make([][]byte, versions)
	for k := range values {
		values[k] = configuration(101+k, idle...)
	}
	values[versions-1] = configuration(100+versions, append([]any{lookupRoute("/extra/")}, idle...)...)
	ticker := time.NewTicker(stormGap)
	for k, value := range values {
		<-ticker.C
		f.note("the operator writes version %d, %d bytes", 101+k, len(value))
		f.store.put(name("config"), value)
	}
	ticker.Stop()
	acknowledged := time.Now()
	var late findings
	for k := 0; time.Since(acknowledged) < 30*time.Second; time.Sleep(500 * time.Millisecond) {
		for edge := range f.edges {
			k++
			after := time.Since(acknowledged)
			r := f.send(newClient(), edge, request{
				id:       fmt.Sprintf("%016x", 3_000_000_000+k),
				method:   http.MethodGet,
				path:     "/extra/2f",
				deadline: 1500 * time.Millisecond,
			})
			if after > applyTime && r.status == http.StatusNotFound {
				late.add("edge-%d answered 404 %.1f s after the acknowledgement of version %d", edge, after.Seconds(), 100+versions)
			}
		}
	}
	return late.list, nil
}

// idleRoutes returns routes that fill a configuration up to the store's largest value, but for
// a further route.
func idleRoutes() []any {
	one := len(configuration(100, lookupRoute("/idle-0000/"))) - len(configuration(100))
	var idle []any
	for size := len(configuration(100)); size+2*one < valueBytes; size += one {
		idle = append(idle, lookupRoute(fmt.Sprintf("/idle-%04d/", len(idle))))
	}
	return idle
}
