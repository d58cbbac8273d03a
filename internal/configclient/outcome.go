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
	s.failures++
	s.stale = false
	s.busy = 0
	s.retryAt = now + int64(s.retry.Next())
	s.failbackAt = now + int64(s.failback.Next())
	c.delay(now, c.pause.Next())
}

// Busy records that the polled server has no capacity now, and when it asks to be polled again; 0: it does not say.
func (c *Client) Busy(now int64, retryAfter time.Duration) {
	c.polled.busy++
	if c.polled.busy > maxBusyAnswers {
		c.Failed(now)
		return
	}
	retryAfter = min(max(retryAfter, retryInitial), failbackLimit)
	jitter := time.Duration(c.random() * float64(retryAfter) * busyJitter)
	c.delay(now, retryAfter+jitter)
}

// Unknown records that the polled server does not know the service. Another one may.
func (c *Client) Unknown(now int64) {
	c.Failed(now)
}

// Answered handles an answer of the polled server. If offered is true, the answer has a new version, and Applied or Rejected
// must follow. An error means that the answer is unusable, and Failed must follow.
func (c *Client) Answered(now int64, answer configapi.Answer) (offered bool, err error) {
	changed := answer.Version.Newer(c.newestKnown())
	if changed {
		if err := c.checkUsable(answer); err != nil {
			return false, err
		}
	}
	s := c.polled
	s.failures = 0
	s.busy = 0
	c.updateStale(s, answer, now)
	if !changed && c.tooEarly(now) {
		c.delay(now, c.early.Next())
		return false, nil
	}
	s.retry.Reset()
	c.pause.Reset()
	c.early.Reset()
	if !changed {
		return false, nil
	}
	if c.hasActiveSettings(answer) {
		c.active = answer.Version
		c.decided(answer.Version)
		return false, nil
	}
	c.offered = answer.Version
	return true, nil
}

// hasActiveSettings reports whether an answer with a new version has the settings that are active already.
func (c *Client) hasActiveSettings(answer configapi.Answer) bool {
	if c.options.Service == "" || c.active.IsZero() {
		return false
	}
	return bytes.Equal(answer.Services[0].Settings, c.settings)
}

// tooEarly reports whether an answer without a change arrived well before the requested wait was over.
func (c *Client) tooEarly(now int64) bool {
	return c.wait == 0 || now-c.polledAt < int64(c.wait)/2
}

// updateStale sets whether a server that answers is stale.
func (c *Client) updateStale(s *server, answer configapi.Answer, now int64) {
	behind := c.newestKnown().Newer(answer.Version)
	age := time.Duration(answer.AgeMS) * time.Millisecond
	s.stale = behind || age > staleAfter
	if s.stale {
		s.failbackAt = now + int64(s.failback.Next())
		return
	}
	s.failbackAt = 0
	s.failback.Reset()
}

// checkUsable returns what is wrong with an answer that has a new version.
func (c *Client) checkUsable(answer configapi.Answer) error {
	switch {
	case !answer.Complete && answer.Epoch != c.active.Epoch:
		return fmt.Errorf("changes of epoch %d where %s is in force", answer.Epoch, c.active)
	case c.options.Service == "":
		return nil
	case len(answer.Services) != 1 || answer.Services[0].Removed:
		return fmt.Errorf("version %s without settings of %s", answer.Version, c.options.Service)
	case answer.Services[0].Version != answer.Version:
		return fmt.Errorf("settings of version %s in an answer of version %s", answer.Services[0].Version, answer.Version)
	}
	return nil
}
