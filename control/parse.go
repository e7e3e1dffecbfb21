package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/tomlfile"
)

// ParseConfig reads a fleet configuration. The error is of type tw.ValidationErrors.
func ParseConfig(source string) (*tw.FleetConfig, error) {
	config := &tw.FleetConfig{}
	if err := tomlfile.Decode([]byte(source), config); err != nil {
		return nil, err
	}
	return config, nil
}

// parseAccepted parses a stored configuration document.
func parseAccepted(body []byte) (tw.AcceptedConfig, *tw.FleetConfig, error) {
	var accepted tw.AcceptedConfig
	if err := json.Unmarshal(body, &accepted); err != nil {
		return accepted, nil, errors.Wrap(err, "control.parseAccepted")
	}
	config, err := ParseConfig(accepted.Source)
	if err != nil {
		return accepted, nil, errors.Wrap(err, "control.parseAccepted")
	}
	return accepted, config, nil
}
