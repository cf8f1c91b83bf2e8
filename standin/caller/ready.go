package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readyPeriod  = 100 * time.Millisecond
	readyTimeout = time.Second // of one poll
)

// WaitReady polls the daemons' operator addresses, each host:port, and returns
// once all daemons have reported that they are ready. If ctx ends first, it
// returns the error of the last poll.
func WaitReady(ctx context.Context, h *http.Client, operators []string) error {
	for _, operator := range operators {
		if err := waitReady(ctx, h, operator); err != nil {
			return errors.Wrapf(err, "daemon at %s is not ready", operator)
		}
	}
	return nil
}

func waitReady(ctx context.Context, h *http.Client, operator string) error {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for {
		err := checkReady(ctx, h, operator)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return err
		}
	}
}

func checkReady(ctx context.Context, h *http.Client, operator string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/readyz", nil)
	if err != nil {
		return err
	}
	resp, err := h.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
