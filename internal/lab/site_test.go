package lab

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/simeng"
)

// TestOrdinaryClient guards the guarantee that an unmodified OpenAI client
// receives its whole response exactly once although the engine is killed in the
// middle.
func TestOrdinaryClient(t *testing.T) {
	site := NewSite([]Zone{NewZone("gab-mill", "gabrovo", 1, 2), NewZone("gab-annex", "gabrovo", 0, 1)},
		zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel), simeng.WithGap(10*time.Millisecond, 0))
	if err := site.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	if err := site.Configure(context.Background(), 1, site.Declaration(30*time.Second, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // the VM list and the first load reports must arrive

	const limit = 60
	client := openai.NewClient(option.WithBaseURL("http://"+site.EntryAddrs()[0]+"/v1"), option.WithAPIKey(Token(0)), option.WithMaxRetries(0))
	stream := client.Completions.NewStreaming(context.Background(), openai.CompletionNewParams{
		Model:     "draft",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("a label")},
		MaxTokens: openai.Int(limit),
		Seed:      openai.Int(7),
	})
	var text strings.Builder
	chunks := 0
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Text)
		}
		if chunks++; chunks == limit/2 {
			killBusy(t, site)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatalf("stream failed: %v", err)
	}
	if want := strings.Join(simeng.Expected("a label", "v1", 7, limit), ""); text.String() != want {
		t.Errorf("got %q\nwant %q", text.String(), want)
	}
}

// killBusy kills the engines that generated tokens.
func killBusy(t *testing.T, site *Site) {
	killed := 0
	for _, e := range site.Engines() {
		if e.Generated() > 0 {
			e.Kill()
			killed++
		}
	}
	if killed == 0 {
		t.Error("no engine was busy")
	}
}
