package simeng

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// tokenBits is the width of a token id. 2^18 ids are about the vocabulary size
// of a real model.
const tokenBits = 18

// bytesPerToken is the average number of prompt bytes per token.
const bytesPerToken = 4

// Chain derives the token ids of one generation. Each id depends on the prompt,
// the version, the seed and all ids before it. It isn't safe for concurrent use.
type Chain struct {
	state uint64
}

// NewChain returns the chain positioned after the ids in prefix.
func NewChain(prompt, version string, seed uint64, prefix []uint32) *Chain {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{prompt, version} {
		// The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, seed))
	c := &Chain{
		state: d.Sum64(),
	}
	for _, id := range prefix {
		c.fold(id)
	}
	return c
}

// Peek returns the next token id without advancing the chain.
func (c *Chain) Peek() uint32 { return uint32(c.state >> (64 - tokenBits)) }

// Next returns the next token id and advances the chain.
func (c *Chain) Next() uint32 {
	id := c.Peek()
	c.fold(id)
	return id
}

// fold mixes id into the state.
func (c *Chain) fold(id uint32) {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], c.state)
	binary.LittleEndian.PutUint32(b[8:], id)
	c.state = xxhash.Sum64(b[:])
}

// Text returns the text of a token id.
func Text(id uint32) string { return fmt.Sprintf(" x%05x", id) }

// Expected returns the texts of a complete answer without stop sequences.
func Expected(prompt, version string, seed uint64, limit int) []string {
	texts, _ := ExpectedStop(prompt, version, seed, limit, nil)
	return texts
}

// ExpectedStop returns the texts of a complete answer and its finish reason,
// "stop" or "length". The token that completes a stop sequence is left out.
func ExpectedStop(prompt, version string, seed uint64, limit int, stop []string) ([]string, string) {
	chain := NewChain(prompt, version, seed, nil)
	var text strings.Builder
	texts := make([]string, 0, limit)
	for len(texts) < limit {
		next := Text(chain.Next())
		text.WriteString(next)
		if containsStop(text.String(), stop) {
			return texts, finishStop
		}
		texts = append(texts, next)
	}
	return texts, finishLength
}

// Prompt returns the prompt text that is equivalent to chat messages: the answer
// to the messages is Expected of this text. JSON whitespace and key order of a
// message don't matter.
func Prompt(messages json.RawMessage) (string, error) {
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(messages, &list); err != nil {
		return "", errors.Wrap(err, "messages")
	}
	var out strings.Builder
	for _, m := range list {
		content, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&out, "%s: %s\n", m.Role, content)
	}
	return out.String(), nil
}

// contentText returns string content unchanged and other content as compact
// JSON.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return "", errors.Wrap(err, "message content")
	}
	return b.String(), nil
}

// promptTokens returns the approximate number of tokens in prompt.
func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// containsStop reports whether text contains a non-empty stop sequence.
func containsStop(text string, stop []string) bool {
	for _, s := range stop {
		if s != "" && strings.Contains(text, s) {
			return true
		}
	}
	return false
}
