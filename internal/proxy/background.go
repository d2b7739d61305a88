package proxy

import (
	"context"
	"sync"
)

// background controls the goroutines that run independently of requests. They end after stop is called; running waits for
// them.
type background struct {
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newBackground() background {
	ctx, stop := context.WithCancel(context.Background())
	return background{ctx: ctx, stop: stop}
}
