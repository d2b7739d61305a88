package backends

import (
	"sync"

	"brasswell/internal/framing"
	"brasswell/internal/memory"
)

// answerCharge is what is charged for one response: for its head, which stays in memory until the caller has been answered, and
// for the buffered part of its body.
type answerCharge struct {
	account *memory.Account

	mu         sync.Mutex
	head, body int64 // bytes
	released   bool
}

// growHead charges a head of which this much has come. It reports false if the account has no room for it.
func (c *answerCharge) growHead(head framing.HeadSize) bool {
	return c.grow(&c.head, memory.AnswerHeads, memory.HeadBytes(head.Bytes, head.Fields))
}

// growBody charges a buffer that is to have size bytes. It reports false if the account has no room for it.
func (c *answerCharge) growBody(size int64) bool {
	return c.grow(&c.body, memory.Answers, size-memory.SmallAnswer)
}

func (c *answerCharge) grow(held *int64, use memory.Use, need int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	more := need - *held
	if more <= 0 || c.released {
		return true
	}
	if !c.account.Reserve(use, more) {
		return false
	}
	*held = need
	return true
}

// releaseBody returns what is charged for the body.
func (c *answerCharge) releaseBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Release(memory.Answers, c.body)
	c.body = 0
}

// release returns all that is charged. Nothing is charged afterwards.
func (c *answerCharge) release() {
	if c == nil {
		return
	}
	c.releaseBody()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Release(memory.AnswerHeads, c.head)
	c.head, c.released = 0, true
}
