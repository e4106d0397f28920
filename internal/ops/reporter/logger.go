package reporter

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object per line to w. Each part of
// the program derives its own logger with Named, so that its messages carry a
// fixed prefix. NewLogger returns an error for an unknown level.
func NewLogger(level string, w zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.NameKey, encoder.MessageKey = "time", "part", "message"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(w), parsed)), nil
}
