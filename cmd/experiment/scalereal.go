package main

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"lilacbend/experiment/installation"
	"lilacbend/experiment/load"
	"lilacbend/internal/configclient"
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
	shape installation.Config
	log   inForceLog
	site  *installation.Site
	stops context.CancelFunc
	ended chan struct{}
}

// newRealService prepares a service with its files in a folder.
func newRealService(program, dir string) *realService {
	r := &realService{log: inForceLog{at: map[string]time.Time{}}, ended: make(chan struct{})}
	r.shape = installation.Config{Zones: realZones, Replicas: realReplicas, ReplicaSlots: 4, Sidecars: realSidecars, Controllers: realGovernors,
		ServiceTime: realAnswer, Dir: dir, Controlled: true, Program: program, Log: &r.log}
	r.site = &installation.Site{Config: r.shape}
	return r
}

// Settings are a revision of the service's.
func (r *realService) Settings(revision int) []byte { return []byte(r.site.Settings(revision)) }

// Start starts the service, whose governors follow configuration servers.
func (r *realService) Start(ctx context.Context, name, region string, servers []configclient.Server) error {
	var list []string
	for _, s := range servers {
		list = append(list, fmt.Sprintf("{address: %q, region: %q}", s.Address, s.Region))
	}
	r.shape.OperatorSections = fmt.Sprintf("configuration: {service: %q, region: %q, zone: a, servers: [%s]}\n", name, region, strings.Join(list, ", "))
	ctx, r.stops = context.WithCancel(ctx)
	s, err := installation.Start(ctx, r.shape)
	r.site = s
	if err != nil {
		close(r.ended)
		return fmt.Errorf("the real service: %w", err)
	}
	go r.load(ctx)
	return nil
}

// ActiveSince counts the governors at which a configuration has gone in force since a time.
func (r *realService) ActiveSince(at time.Time) int { return r.log.since(at) }

// Controllers is how many there are.
func (r *realService) Controllers() int { return realGovernors }

// load sends requests until the service stops.
func (r *realService) load(ctx context.Context) {
	defer close(r.ended)
	var urls []string
	for _, at := range r.site.HTTP1Addresses {
		urls = append(urls, "http://"+at+"/stock")
	}
	for seed := int64(1); ctx.Err() == nil; seed++ {
		load.Run(ctx, load.Job{URLs: urls, Method: "GET", Rate: realRate, Duration: realSpan, Timeout: 2 * time.Second, Seed: seed})
	}
}

// Stop ends all of it, and waits.
func (r *realService) Stop() {
	if r.stops == nil {
		return
	}
	r.stops()
	<-r.ended
	r.site.Stop()
}

// Processes lists the service's processes by role.
func (r *realService) Processes() map[string][]int {
	all := map[string][]int{}
	for _, name := range r.site.ProcessNames() {
		if pid := r.site.PID(name); pid > 0 {
			all[roleOf(name)] = append(all[roleOf(name)], pid)
		}
	}
	return all
}

// inForceLog reads in the governors' logs when a configuration went in force.
type inForceLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

var inForceLine = regexp.MustCompile(`msg="configuration in force" governor=(\S+)`)

// Write takes a part of some process's log.
func (l *inForceLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range bytes.Split(b, []byte("\n")) {
		if found := inForceLine.FindSubmatch(line); found != nil {
			l.at[string(found[1])] = time.Now()
		}
	}
	return len(b), nil
}

func (l *inForceLog) since(at time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.at {
		if t.After(at) {
			count++
		}
	}
	return count
}
