package settings

import "lilacbend/control"

// Load reads the settings of a deployment from JSON as a governor takes them, and says what is wrong with them: the same
// code whether they come with its start, from a configuration server, or to one. The seed is the governor's own.
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
	decoded.HardwareClasses++ // one more for kinds that the settings do not name
	decoded.HostQueues = true // the core does, by the channel's account
	return names, decoded, nil
}
