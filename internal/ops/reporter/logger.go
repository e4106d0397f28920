package reporter

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object a line. Each part of
// the program takes its own logger with Named, so that its messages carry a
// fixed prefix.
func NewLogger(level string, w zapcore.WriteSyncer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.NameKey, c.MessageKey = "time", "part", "message"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(w), l)), nil
}
