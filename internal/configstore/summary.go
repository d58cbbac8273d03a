package configstore

import (
	"cmp"
	"maps"
	"slices"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// Summary is the combined state of the servers of an installation.
type Summary struct {
	Version  revision.Version  `json:"version"` // the newest version of all servers
	Servers  []ServerSummary   `json:"servers"`
	Services []ServiceSummary  `json:"services"`
	Lagging  []LaggingWatcher  `json:"lagging"` // longest lag first
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

// ServiceSummary is the newest version of a service, and the versions that are active in each zone.
type ServiceSummary struct {
	Service string           `json:"service"`
	Version revision.Version `json:"version"`
	Zones   []ZoneSummary    `json:"zones"`
}

// ZoneSummary counts a zone's controllers by their active version.
type ZoneSummary struct {
	Zone     string         `json:"zone"`
	Active   []VersionCount `json:"in_force"` // newest first
	Lagging  int            `json:"lagging"`
	Rejected int            `json:"refused"`
}

// VersionCount is the number of controllers at which a version is active.
type VersionCount struct {
	Version     revision.Version `json:"version"`
	Controllers int              `json:"governors"`
}

// LaggingWatcher is a controller whose active version is older than the newest version of its service.
type LaggingWatcher struct {
	configapi.Watcher
	Newest revision.Version `json:"wants"`
	ForMS  int64            `json:"for_ms"` // time since a newer version than the active one was published
}

// Summarize combines the states of several servers. If several servers list the same controller, because it has changed
// its server, the state at the server that it polled last is used.
func Summarize(statuses []configapi.Status) Summary {
	summary := Summary{
		Servers:  []ServerSummary{},
		Services: []ServiceSummary{},
		Lagging:  []LaggingWatcher{},
		Faults:   []configapi.Fault{},
	}
	services := map[string]configapi.ServiceStatus{}
	watchers := map[watcherKey]configapi.Watcher{}
	for _, status := range statuses {
		summary.Version = revision.Latest(summary.Version, status.Version)
		summary.Servers = append(summary.Servers, ServerSummary{
			Server:  status.Server,
			Region:  status.Region,
			Writer:  status.Writer,
			Version: status.Version,
			AgeMS:   status.WriterAgeMS,
		})
		summary.Faults = append(summary.Faults, status.Faults...)
		collectServices(services, status.Services)
		collectWatchers(watchers, status.Watchers)
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		summary.addService(services[name], watchers)
	}
	slices.SortStableFunc(summary.Lagging, func(a, b LaggingWatcher) int {
		return cmp.Or(cmp.Compare(b.ForMS, a.ForMS), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return summary
}

// collectServices adds a server's services. If several servers have a status of the same service, the most complete
// one is used.
func collectServices(services map[string]configapi.ServiceStatus, added []configapi.ServiceStatus) {
	for _, service := range added {
		known, ok := services[service.Name]
		if !ok || moreComplete(service, known) {
			services[service.Name] = service
		}
	}
}

// moreComplete reports whether a has a newer version than b, or the same version and a history that reaches back further.
func moreComplete(a, b configapi.ServiceStatus) bool {
	order := a.Version.Compare(b.Version)
	if order != 0 {
		return order > 0
	}
	return len(a.History) > 0 && len(b.History) > 0 && a.History[0].AgoMS > b.History[0].AgoMS
}

// collectWatchers adds the controllers among a server's followers. If several servers have a state of the same
// controller, the one with the latest poll is used.
func collectWatchers(watchers map[watcherKey]configapi.Watcher, added []configapi.Watcher) {
	for _, w := range added {
		if w.Service == "" {
			continue
		}
		key := watcherKey{service: w.Service, instance: w.Instance}
		known, ok := watchers[key]
		if !ok || w.LastSeenMS < known.LastSeenMS {
			watchers[key] = w
		}
	}
}

// zoneCounts accumulates a zone's summary while its watchers are counted.
type zoneCounts struct {
	ZoneSummary
	versions map[revision.Version]int
}

// addService adds the summary of a service, and its lagging watchers.
func (s *Summary) addService(service configapi.ServiceStatus, watchers map[watcherKey]configapi.Watcher) {
	zones := map[string]*zoneCounts{}
	for _, w := range watchers {
		if w.Service != service.Name {
			continue
		}
		zone := zones[w.Zone]
		if zone == nil {
			zone = &zoneCounts{ZoneSummary: ZoneSummary{Zone: w.Zone}, versions: map[revision.Version]int{}}
			zones[w.Zone] = zone
		}
		zone.versions[w.Active]++
		if service.Version.Newer(w.Active) {
			zone.Lagging++
			s.Lagging = append(s.Lagging, LaggingWatcher{Watcher: w, Newest: service.Version, ForMS: lagMS(service, w.Active)})
		}
		if w.Rejected.Newer(w.Active) {
			zone.Rejected++
		}
	}
	added := ServiceSummary{Service: service.Name, Version: service.Version, Zones: []ZoneSummary{}}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		added.Zones = append(added.Zones, zones[name].summary())
	}
	s.Services = append(s.Services, added)
}

// summary returns the zone's summary with its active versions, newest first.
func (z *zoneCounts) summary() ZoneSummary {
	newestFirst := func(a, b revision.Version) int { return b.Compare(a) }
	summary := z.ZoneSummary
	for _, version := range slices.SortedFunc(maps.Keys(z.versions), newestFirst) {
		summary.Active = append(summary.Active, VersionCount{Version: version, Controllers: z.versions[version]})
	}
	return summary
}

// lagMS returns how long ago the first newer version than the active one was published, in milliseconds.
func lagMS(service configapi.ServiceStatus, active revision.Version) int64 {
	for _, entry := range service.History {
		if entry.Version.Newer(active) {
			return entry.AgoMS
		}
	}
	return 0
}
