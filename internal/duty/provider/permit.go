package provider

import "context"

// permitKey is the context key of the permit of a call.
type permitKey struct{}

// WithPermit returns a context for a call that is written only if permit reports true at
// that moment. A holder that was frozen while the connection was opened may have lost its
// duty meanwhile.
func WithPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

// Permitted reports whether a call with the context may be written now.
func Permitted(ctx context.Context) bool {
	permit, found := ctx.Value(permitKey{}).(func() bool)
	return !found || permit()
}
