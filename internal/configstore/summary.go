package configstore

import (
	"cmp"
	"maps"
	"slices"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// Summary is what the servers of an installation know together.
type Summary struct {
	Version  revision.Version  `json:"version"` // the newest of any server
	Servers  []ServerSummary   `json:"servers"`
	Services []ServiceSummary  `json:"services"`
	Lagging  []Laggard         `json:"lagging"` // the longest first
	Faults   []configapi.Fault `json:"faults"`
}

// ServerSummary is the state of one server.
type ServerSummary struct {
	Server  string           `json:"server"`
	Region  string           `json:"region"`
	Writer  bool             `json:"writer"`
	Version revision.Version `json:"version"`
	AgeMS   int64            `json:"age_ms"`
}

// ServiceSummary is the newest version of a service, and by zone what is in force.
type ServiceSummary struct {
	Service string           `json:"service"`
	Version revision.Version `json:"version"`
	Zones   []ZoneSummary    `json:"zones"`
}

// ZoneSummary counts a zone's governors by what they have in force.
type ZoneSummary struct {
	Zone    string         `json:"zone"`
	InForce []VersionCount `json:"in_force"` // the newest first
	Lagging int            `json:"lagging"`
	Refused int            `json:"refused"`
}

// VersionCount is how many have a version in force.
type VersionCount struct {
	Version   revision.Version `json:"version"`
	Governors int              `json:"governors"`
}

// Laggard has not the newest version of its service in force.
type Laggard struct {
	configapi.Watcher
	Wants revision.Version `json:"wants"`
	ForMS int64            `json:"for_ms"` // since something newer than what it has was published
}

// Summarize puts together what several servers know. A governor that has changed its server is known to both: the one
// that heard it last counts.
func Summarize(all []configapi.Status) Summary {
	s := Summary{Servers: []ServerSummary{}, Services: []ServiceSummary{}, Lagging: []Laggard{}, Faults: []configapi.Fault{}}
	services, watchers := map[string]configapi.ServiceStatus{}, map[watcherKey]configapi.Watcher{}
	for _, status := range all {
		s.Version = revision.Latest(s.Version, status.Version)
		s.Servers = append(s.Servers, ServerSummary{status.Server, status.Region, status.Writer, status.Version, status.AgeMS})
		s.Faults = append(s.Faults, status.Faults...)
		for _, service := range status.Services {
			if known, has := services[service.Name]; !has || fuller(service, known) {
				services[service.Name] = service
			}
		}
		for _, w := range status.Watchers {
			key := watcherKey{w.Service, w.Instance}
			if known, has := watchers[key]; w.Service != "" && (!has || w.HeardMS < known.HeardMS) {
				watchers[key] = w
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s.Services = append(s.Services, s.summarize(services[name], watchers))
	}
	slices.SortStableFunc(s.Lagging, func(a, b Laggard) int {
		return cmp.Or(cmp.Compare(b.ForMS, a.ForMS), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return s
}

// fuller says whether one server knows more of a service: a newer version, or the same one for longer.
func fuller(a, b configapi.ServiceStatus) bool {
	if c := a.Version.Compare(b.Version); c != 0 {
		return c > 0
	}
	return len(a.History) > 0 && len(b.History) > 0 && a.History[0].AgoMS > b.History[0].AgoMS
}

func (s *Summary) summarize(service configapi.ServiceStatus, watchers map[watcherKey]configapi.Watcher) ServiceSummary {
	type zone struct {
		ZoneSummary
		counts map[revision.Version]int
	}
	zones := map[string]*zone{}
	for _, w := range watchers {
		if w.Service != service.Name {
			continue
		}
		z := zones[w.Zone]
		if z == nil {
			z = &zone{ZoneSummary{Zone: w.Zone}, map[revision.Version]int{}}
			zones[w.Zone] = z
		}
		z.counts[w.InForce]++
		if service.Version.Newer(w.InForce) {
			z.Lagging++
			s.Lagging = append(s.Lagging, Laggard{w, service.Version, lag(service, w.InForce)})
		}
		if w.Refused.Newer(w.InForce) {
			z.Refused++
		}
	}
	summary := ServiceSummary{Service: service.Name, Version: service.Version, Zones: []ZoneSummary{}}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		z := zones[name]
		versions := slices.SortedFunc(maps.Keys(z.counts), func(a, b revision.Version) int { return b.Compare(a) })
		for _, v := range versions {
			z.InForce = append(z.InForce, VersionCount{v, z.counts[v]})
		}
		summary.Zones = append(summary.Zones, z.ZoneSummary)
	}
	return summary
}

// lag is for how long something newer than a version has been there.
func lag(service configapi.ServiceStatus, inForce revision.Version) int64 {
	for _, p := range service.History {
		if p.Version.Newer(inForce) {
			return p.AgoMS
		}
	}
	return 0
}
