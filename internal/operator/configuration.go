package operator

import (
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
	"lilacbend/internal/strictyaml"
)

// ConfigurationSource describes the configuration servers from which a controller receives changes of its settings, and the
// folder where it keeps them.
type ConfigurationSource struct {
	Service string                // service of the controller; empty: the controller uses no configuration server
	Region  string                // region of this controller
	Zone    string                // zone of this controller; only reported, in the servers' status
	Servers []configclient.Server // servers of all regions; those of this controller's region are preferred
	Folder  string                // where the active settings are kept across restarts; empty: they are not kept
}

// Enabled reports whether the controller receives its settings from configuration servers.
func (f ConfigurationSource) Enabled() bool { return f.Service != "" }

// readConfigurationSource reads the section configuration.
func readConfigurationSource(file string, section *strictyaml.Section) ConfigurationSource {
	var source ConfigurationSource
	section.Text("service", &source.Service)
	section.Text("region", &source.Region)
	section.Text("zone", &source.Zone)
	source.Servers = configclient.ReadServers(section, "servers")
	readFolder(file, section, &source.Folder)
	checkService(section, source.Service)
	if !section.Has("servers") {
		section.AddFault("", "lacks servers: name the configuration servers")
	}
	section.Done()
	return source
}

// checkService reports a section without a service, or with one that has an invalid name.
func checkService(section *strictyaml.Section, service string) {
	if !section.Has("service") {
		section.AddFault("", "lacks service: name the service whose settings this controller is to receive")
		return
	}
	err := configstore.CheckName(service)
	if err != nil {
		section.AddFault("service", "%v", err)
	}
}
