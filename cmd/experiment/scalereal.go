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

// The real service beside the simulated controllers has the size of the mean service: 5 controllers, 33 replicas. Its
// request rate is low, as the scale run measures the control plane.
const (
	realControllers  = 5
	realReplicas     = 33
	realSidecars     = 4
	realZones        = 2
	realRequestRate  = 50.0
	realServiceTime  = 5 * time.Millisecond
	realLoadDuration = 5 * time.Minute
)

// realService is a service of real processes: controllers, collectors and sidecars. It implements scale.RealService.
type realService struct {
	config      installation.Config
	activations activationLog
	site        *installation.Site
	cancel      context.CancelFunc
	loadEnded   chan struct{}
}

// newRealService returns a service that is not started yet. It runs the program, and keeps its files in the folder dir.
func newRealService(program, dir string) *realService {
	r := &realService{activations: activationLog{activatedAt: map[string]time.Time{}}, loadEnded: make(chan struct{})}
	r.config = installation.Config{Zones: realZones, Replicas: realReplicas, ReplicaSlots: 4, Sidecars: realSidecars, Controllers: realControllers,
		ServiceTime: realServiceTime, Dir: dir, RunControllers: true, Program: program, Log: &r.activations}
	r.site = &installation.Site{Config: r.config}
	return r
}

// Settings returns the service's settings at the given revision.
func (r *realService) Settings(revision int) []byte { return []byte(r.site.Settings(revision)) }

// Start starts the service. Its controllers watch the settings of the service called name at the given configuration
// servers.
func (r *realService) Start(ctx context.Context, name, region string, servers []configclient.Server) error {
	var serverList []string
	for _, server := range servers {
		serverList = append(serverList, fmt.Sprintf("{address: %q, region: %q}", server.Address, server.Region))
	}
	r.config.OperatorSections = fmt.Sprintf("configuration: {service: %q, region: %q, zone: a, servers: [%s]}\n", name, region, strings.Join(serverList, ", "))
	ctx, r.cancel = context.WithCancel(ctx)
	site, err := installation.Start(ctx, r.config)
	r.site = site
	if err != nil {
		close(r.loadEnded)
		return fmt.Errorf("starting the real service: %w", err)
	}
	go r.load(ctx)
	return nil
}

// ActiveSince returns the number of controllers at which a configuration has come into force since the given time.
func (r *realService) ActiveSince(at time.Time) int { return r.activations.countSince(at) }

// Controllers returns the number of the service's controllers.
func (r *realService) Controllers() int { return realControllers }

// load sends requests until the service is stopped.
func (r *realService) load(ctx context.Context) {
	defer close(r.loadEnded)
	var urls []string
	for _, address := range r.site.HTTP1Addresses {
		urls = append(urls, "http://"+address+"/stock")
	}
	for seed := int64(1); ctx.Err() == nil; seed++ {
		load.Run(ctx, load.Job{URLs: urls, Method: "GET", Rate: realRequestRate, Duration: realLoadDuration, Timeout: 2 * time.Second, Seed: seed})
	}
}

// Stop ends the load and all processes, and waits for them.
func (r *realService) Stop() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.loadEnded
	r.site.Stop()
}

// Processes returns the process IDs of the service by role.
func (r *realService) Processes() map[string][]int {
	processes := map[string][]int{}
	for _, name := range r.site.ProcessNames() {
		if pid := r.site.PID(name); pid > 0 {
			processes[roleOf(name)] = append(processes[roleOf(name)], pid)
		}
	}
	return processes
}

// activationLog is the log destination of the real processes. It records when a configuration last came into force at each
// controller, from the log lines of the processes.
type activationLog struct {
	mu          sync.Mutex
	activatedAt map[string]time.Time
}

var activationLine = regexp.MustCompile(`msg="configuration in force" governor=(\S+)`)

// Write parses log output of a process.
func (l *activationLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range bytes.Split(b, []byte("\n")) {
		if match := activationLine.FindSubmatch(line); match != nil {
			l.activatedAt[string(match[1])] = time.Now()
		}
	}
	return len(b), nil
}

func (l *activationLog) countSince(at time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, activated := range l.activatedAt {
		if activated.After(at) {
			count++
		}
	}
	return count
}
