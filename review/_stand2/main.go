// Command stand2 holds the stand-ins of the second review: replicas, a service discovery, clients, and the driver of each
// case. A case is started by its run.sh, which names the folder that gets record.txt.
package main

import (
	"fmt"
	"os"
)

// cases are the drivers by the name that a run.sh gives. Each returns an error only if the case could not run.
var cases = map[string]func(c *caseRun) error{
	"early": runEarly,
	"hang":  runHang,
	"idle":  runIdle,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		serveReplica(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER | stand2 replica ID")
		os.Exit(exitCannotRun)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}
