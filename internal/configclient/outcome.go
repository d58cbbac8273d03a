package configclient

import (
	"bytes"
	"fmt"
	"time"

	"lilacbend/internal/configapi"
)

// Failed records that the polled server gave no usable answer.
func (c *Client) Failed(now int64) {
	s := c.polled
	s.consecutiveFailures++
	s.stale = false
	s.consecutiveBusy = 0
	s.retryAt = now + int64(s.retryBackoff.Next())
	s.failbackAt = now + int64(s.failbackBackoff.Next())
	c.delayPolls(now, c.failureBackoff.Next())
}

// Busy records that the polled server has no capacity now, and after what time it requests to be polled again; a time
// of 0 is unknown.
func (c *Client) Busy(now int64, retryAfter time.Duration) {
	c.polled.consecutiveBusy++
	if c.polled.consecutiveBusy > maxBusyAnswers {
		c.Failed(now)
		return
	}
	retryAfter = min(max(retryAfter, retryInitial), failbackLimit)
	jitter := time.Duration(c.random() * float64(retryAfter) * busyJitter)
	c.delayPolls(now, retryAfter+jitter)
}

// Unknown records that the polled server does not have the service. Another server may have it.
func (c *Client) Unknown(now int64) {
	c.Failed(now)
}

// Answered handles an answer of the polled server. If offered is true, the answer has a new version, and Applied or Rejected
// must be called next. An error means that the answer is unusable, and Failed must be called next.
func (c *Client) Answered(now int64, answer configapi.Answer) (offered bool, err error) {
	changed := answer.Version.Newer(c.newestKnown())
	if changed {
		if err := c.checkUsable(answer); err != nil {
			return false, err
		}
	}
	s := c.polled
	s.consecutiveFailures = 0
	s.consecutiveBusy = 0
	c.updateStale(s, answer, now)
	if !changed && c.tooEarly(now) {
		c.delayPolls(now, c.earlyBackoff.Next())
		return false, nil
	}
	s.retryBackoff.Reset()
	c.failureBackoff.Reset()
	c.earlyBackoff.Reset()
	if !changed {
		return false, nil
	}
	if c.hasActiveSettings(answer) {
		c.active = answer.Version
		c.endOffer(answer.Version)
		return false, nil
	}
	c.offered = answer.Version
	return true, nil
}

// hasActiveSettings reports whether the settings of an answer with a new version equal those of the active version.
func (c *Client) hasActiveSettings(answer configapi.Answer) bool {
	if c.options.Service == "" || c.active.IsZero() {
		return false
	}
	return bytes.Equal(answer.Services[0].Settings, c.settings)
}

// tooEarly reports whether an answer without a change arrived within half of the requested wait, or no wait was requested.
func (c *Client) tooEarly(now int64) bool {
	return c.polledWait == 0 || now-c.polledAt < int64(c.polledWait)/2
}

// updateStale sets whether a server is stale, according to its answer.
func (c *Client) updateStale(s *server, answer configapi.Answer, now int64) {
	behind := c.newestKnown().Newer(answer.Version)
	age := time.Duration(answer.AgeMS) * time.Millisecond
	s.stale = behind || age > staleAfter
	if s.stale {
		s.failbackAt = now + int64(s.failbackBackoff.Next())
		return
	}
	s.failbackAt = 0
	s.failbackBackoff.Reset()
}

// checkUsable returns an error if an answer with a new version cannot be used.
func (c *Client) checkUsable(answer configapi.Answer) error {
	switch {
	case !answer.Complete && answer.Epoch != c.active.Epoch:
		return fmt.Errorf("changes of epoch %d do not apply to active version %s", answer.Epoch, c.active)
	case c.options.Service == "":
		return nil
	case len(answer.Services) != 1 || answer.Services[0].Removed:
		return fmt.Errorf("answer of version %s without settings of service %s", answer.Version, c.options.Service)
	case answer.Services[0].Version != answer.Version:
		return fmt.Errorf("answer has settings of version %s, but its own version is %s", answer.Services[0].Version, answer.Version)
	}
	return nil
}
