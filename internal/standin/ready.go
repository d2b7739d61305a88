package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// healthEvery is the pause between two looks at a proxy's health.
const healthEvery = time.Millisecond

// AwaitReady returns once the proxy at an address says that it takes requests, or ctx is done.
func AwaitReady(ctx context.Context, address string) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + address + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("health is answered %s", resp.Status)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", address, err)
		case <-time.After(healthEvery):
		}
	}
}
