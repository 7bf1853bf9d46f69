package instance

import (
	"context"
	"net/http"
	"time"

	"oxbowsaddle/internal/settings"
)

// runPlatform polls the platform's list of instances. As the list may be late or wrong,
// it is only used as a hint, by peer.Tracker.
func (c *controlLoop) runPlatform(ctx context.Context) error {
	s := c.instance.config.Settings
	if s.Platform == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(s.Times.PlatformPollInterval.Std())
	defer ticker.Stop()
	client := &http.Client{Timeout: s.Times.CheckTimeout.Std()}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		names, err := pollPlatform(ctx, client, s.Platform, s.Instances)
		if err != nil {
			c.instance.counters.Counter("platform_failures").Inc(1)
			continue
		}
		select {
		case c.unlisted <- names:
		case <-ctx.Done():
		}
	}
}

// platformList is the platform's list of instances.
type platformList struct {
	Instances []struct {
		Name  string `json:"name"`
		State string `json:"state"` // live or leaving
	} `json:"instances"`
}

// pollPlatform returns the known instances that the platform does not list.
func pollPlatform(ctx context.Context, client *http.Client, url string, known []settings.Instance) ([]string, error) {
	const maxBytes = 4 << 20
	var list platformList
	if err := getJSON(ctx, client, url, maxBytes, &list); err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	for _, i := range list.Instances {
		listed[i.Name] = true
	}
	var unlisted []string
	for _, i := range known {
		if !listed[i.Name] {
			unlisted = append(unlisted, i.Name)
		}
	}
	return unlisted, nil
}
