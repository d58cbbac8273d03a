package operator

import (
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
	"lilacbend/internal/strictyaml"
)

// Following describes from where a controller receives changes of its configuration.
type Following struct {
	Service string                // empty: no configuration is followed
	Region  string                // of this controller
	Zone    string                // of this controller, for the servers' status
	Servers []configclient.Server // of all regions; those of this controller's region are preferred
	Folder  string                // keeps the active settings over a restart; empty: they are not kept
}

// On reports whether a configuration is followed.
func (f Following) On() bool { return f.Service != "" }

// readFollowing reads the section configuration.
func readFollowing(file string, section *strictyaml.Section) Following {
	var following Following
	section.Text("service", &following.Service)
	section.Text("region", &following.Region)
	section.Text("zone", &following.Zone)
	following.Servers = configclient.ReadServers(section, "servers")
	readFolder(file, section, &following.Folder)
	checkService(section, following.Service)
	if !section.Has("servers") {
		section.Fault("", "lacks servers: name the configuration servers")
	}
	section.Done()
	return following
}

func checkService(section *strictyaml.Section, service string) {
	if !section.Has("service") {
		section.Fault("", "lacks service: name the one whose settings this governor is to follow")
		return
	}
	err := configstore.CheckName(service)
	if err != nil {
		section.Fault("service", "%v", err)
	}
}
