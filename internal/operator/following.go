package operator

import (
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
	"lilacbend/internal/strictyaml"
)

// Following says from where a governor gets changes of its configuration.
type Following struct {
	Service string                // whose settings; empty: nothing is followed
	Region  string                // where this governor stands
	Zone    string                // likewise, for the servers' status
	Servers []configclient.Server // of all regions, the nearest of which are asked first
	Folder  string                // where the settings in force are kept over a restart; empty: they are not
}

// On says whether a configuration is followed.
func (f Following) On() bool { return f.Service != "" }

func following(file string, s *strictyaml.Section) (f Following) {
	s.Text("service", &f.Service)
	s.Text("region", &f.Region)
	s.Text("zone", &f.Zone)
	f.Servers = configclient.ReadServers(s, "servers")
	readFolder(file, s, &f.Folder)
	if !s.Has("service") {
		s.Fault("", "lacks service: name the one whose settings this governor is to follow")
	} else if err := configstore.CheckName(f.Service); err != nil {
		s.Fault("service", "%v", err)
	}
	if !s.Has("servers") {
		s.Fault("", "lacks servers: name the configuration servers")
	}
	s.Done()
	return f
}
