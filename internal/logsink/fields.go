package logsink

import "go.uber.org/zap"

// Err is an error's text. The usual field adds its stack, which is long and
// costs processor time at each refused call.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
