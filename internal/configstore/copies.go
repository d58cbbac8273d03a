package configstore

const (
	// copySpanFirst is what a whole copy is taken to last until some have been measured.
	copySpanFirst = int64(50 * 1e6)
	// retryLeast and retryMost bound the time after which a follower that was sent away comes back.
	retryLeast, retryMost = int64(100 * 1e6), int64(5 * 1e9)
	// spanWeight is what one more measured copy counts in the mean of those before.
	spanWeight = 8
)

// Copies bounds the whole copies that are under way at once, and with them the memory that they take: a copy takes a place
// for each SettingsMax of its size. Whoever does not fit is told when to come back: places in
// time are given out one after another, at the pace at which copies have lately been sent.
type Copies struct {
	most  int
	open  int
	span  int64 // mean time that one takes
	given int64 // the last place in time that was given out
}

// Places is how many places a copy of a size takes.
func Places(bytes int) int { return 1 + max(0, bytes-1)/SettingsMax }

// NewCopies has so many places.
func NewCopies(most int) *Copies { return &Copies{most: max(1, most), span: copySpanFirst} }

// Admit says whether a copy that takes so many places may begin; if not, retryAfter is when to come back. One that takes
// more than there are begins when no other is under way.
func (c *Copies) Admit(places int, now int64) (ok bool, retryAfter int64) {
	if c.open == 0 || c.open+places <= c.most {
		c.open += places
		return true, 0
	}
	c.given = max(c.given, now) + c.span*int64(places)/int64(c.most)
	return false, min(max(retryLeast, c.given-now+c.span), retryMost)
}

// Done ends a copy that was admitted and says how long it took.
func (c *Copies) Done(places int, took int64) {
	c.open = max(0, c.open-places)
	c.span += (max(0, took) - c.span) / spanWeight
}

// Open is how many places are taken.
func (c *Copies) Open() int { return c.open }
