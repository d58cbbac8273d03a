package settings

import "lilacbend/control"

// Load decodes and checks the settings of a deployment from JSON as a controller uses them, whether they come from its own
// file, from a configuration server, or to one. The seed is the controller's own.
func Load(raw []byte, seed uint64) (Names, control.Settings, error) {
	values, err := ParseJSON(raw)
	if err != nil {
		return Names{}, control.Settings{}, err
	}
	decoded, err := values.Decode(seed)
	if err != nil {
		return Names{}, control.Settings{}, err
	}
	names, err := values.Names()
	if err != nil {
		return Names{}, control.Settings{}, err
	}
	decoded.HardwareClasses++ // one more for those that the settings do not name
	decoded.HostQueues = true // the core does, by its send budget
	return names, decoded, nil
}
