package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"lilacbend/lab/load"
	"lilacbend/lab/site"
)

// The real service beside the hollow governors has the size of the mean service: 5 governors, 33 replicas. Its requests are
// few, as what is measured is control.
const (
	realGovernors = 5
	realReplicas  = 33
	realSidecars  = 4
	realZones     = 2
	realRate      = 50.0
	realAnswer    = 5 * time.Millisecond
	realSpan      = 5 * time.Minute
)

// realService is one service of real processes.
type realService struct {
	site  *site.Site
	dir   string
	stops context.CancelFunc
	ended chan struct{}
}

func startRealService(ctx context.Context) (*realService, error) {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	s, err := site.Start(ctx, site.Shape{Zones: realZones, Replicas: realReplicas, Places: 4, Sidecars: realSidecars,
		Governors: realGovernors, Span: realAnswer, Dir: dir, Steered: true})
	if err != nil {
		stop()
		os.RemoveAll(dir)
		return nil, fmt.Errorf("the real service: %w", err)
	}
	r := &realService{site: s, dir: dir, stops: stop, ended: make(chan struct{})}
	go r.load(ctx)
	return r, nil
}

// load sends requests until the service stops.
func (r *realService) load(ctx context.Context) {
	defer close(r.ended)
	var urls []string
	for _, at := range r.site.H1s {
		urls = append(urls, "http://"+at+"/stock")
	}
	for seed := int64(1); ctx.Err() == nil; seed++ {
		load.Run(ctx, load.Job{URLs: urls, Method: "GET", Rate: realRate, Span: realSpan, Expiry: 2 * time.Second, Seed: seed})
	}
}

func (r *realService) stop() {
	r.stops()
	<-r.ended
	r.site.Stop()
	os.RemoveAll(r.dir)
}

// Processes lists the service's processes by role.
func (r *realService) Processes() map[string][]int {
	all := map[string][]int{}
	for _, name := range r.site.Names() {
		if pid := r.site.Pid(name); pid > 0 {
			all[roleOf(name)] = append(all[roleOf(name)], pid)
		}
	}
	return all
}
