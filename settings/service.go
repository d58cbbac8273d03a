package settings

import "lilacbend/control"

// Load decodes the settings of a deployment from JSON and checks them. Controllers load settings from their own file or from
// a configuration server; a configuration server loads those that it is sent, to check them. seed is the random seed of the
// controller.
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
	decoded.HardwareClasses++       // one more for replicas of a class that the settings do not name
	decoded.ControllerQueues = true // package controller queues commands according to its send budget
	return names, decoded, nil
}
