// Command review runs the cases of the independent review. Each case starts the project's programs as processes of its
// own, plays the platform, the servers and the clients around them on loopback addresses, and judges only what those see.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	cases := map[string]func(*site) int{
		"resets":    runResets,
		"shortened": runShortened,
		"payouts":   runPayouts,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD-FILE")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays one case and ends all processes that it started, whatever happens.
func run(play func(*site) int, recordFile string) (code int) {
	s, err := newSite(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		return couldNot
	}
	defer s.stop()
	defer func() {
		if v := recover(); v != nil {
			s.record.printf("could not run: %v", v)
			code = couldNot
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		s.stop()
		os.Exit(couldNot)
	}()
	return play(s)
}
