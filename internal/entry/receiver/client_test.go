package receiver_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestOfficialClient guards against answers that the published OpenAI client library
// rejects: streamed and whole, chat and completions, with token counts.
func TestOfficialClient(t *testing.T) {
	h := newHarness(t)
	client := openai.NewClient(option.WithBaseURL(h.url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	ctx := context.Background()
	chat := openai.ChatCompletionNewParams{
		Model:         "story",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("the fox [[length=20]]")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	stream := client.Chat.Completions.NewStreaming(ctx, chat)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		assert.Assert(t, acc.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	chat.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	whole, err := client.Chat.Completions.New(ctx, chat)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, acc.Choices[0].Message.Content)
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, int64(20))
	assert.Equal(t, acc.Usage.CompletionTokens, int64(20))

	completion := openai.CompletionNewParams{
		Model:  "story",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hay [[length=9]]")},
	}
	text, err := client.Completions.New(ctx, completion)
	assert.NilError(t, err)
	parts := client.Completions.NewStreaming(ctx, completion)
	streamed := ""
	for parts.Next() {
		streamed += parts.Current().Choices[0].Text
	}
	assert.NilError(t, parts.Err())
	assert.Equal(t, streamed, text.Choices[0].Text)

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, "story")
}

// TestOfficialClientErrors guards against errors that the published OpenAI client
// library doesn't report to its user: refusals, and streams that are aborted.
func TestOfficialClientErrors(t *testing.T) {
	h := newHarness(t, withUpstreams(1))
	client := openai.NewClient(option.WithBaseURL(h.url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	chat := openai.ChatCompletionNewParams{
		Model:    "story",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("the fox [[length=20]]")},
	}
	h.responders[0].Set(responder.Behaviour{Break: 5})
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat)
	chunks := 0
	for stream.Next() {
		chunks++
	}
	assert.ErrorContains(t, stream.Err(), "no live upstream")
	assert.Equal(t, chunks, 6) // the role and five tokens
	h.dispatcher.refusal = &dispatcher.RefusedError{Reason: scheduler.Overloaded, RetryAfter: 2 * time.Second}
	_, err := client.Chat.Completions.New(context.Background(), chat)
	var failure *openai.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.StatusCode, 503)
	assert.Equal(t, failure.Code, "overloaded")
	assert.Equal(t, failure.Response.Header.Get("Retry-After"), "2")
}
