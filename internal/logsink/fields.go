package logsink

import "go.uber.org/zap"

// Err returns a field with an error's text. zap.Error adds the stack, which is
// long and costs processor time for each refused call.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
