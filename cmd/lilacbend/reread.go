package main

import (
	"context"
	"os"
	"time"
)

// A file that cannot be used is one that is still being written, which takes milliseconds, or one that waits for a hand. It is
// read again from rereadFirst on, half as often each time, down to once in rereadMost: at the discovery that it names lists
// count as told after 6 s, and one small file a second is no load.
const rereadFirst, rereadMost = 50 * time.Millisecond, time.Second

// atHangups has a file taken over at each signal, until ctx ends. The signal may come before the file is whole, and is not sent
// twice: what cannot be used is tried again until it can, or until the next signal; first says that a signal has just come.
func atHangups(ctx context.Context, asked <-chan os.Signal, take func(first bool) error) {
	pause := time.Duration(0) // until it is read again; 0: nobody waits for it
	for {
		var again <-chan time.Time
		if pause > 0 {
			again = time.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-asked:
			pause = 0
		case <-again:
		}
		if take(pause == 0) == nil {
			pause = 0
		} else {
			pause = min(max(rereadFirst, 2*pause), rereadMost)
		}
	}
}
