package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of a replica's work, and of the answer to a request for the stock, which it sends in pieces.
const (
	serviceTime = 20 * time.Millisecond
	pieces      = 20
	pieceTime   = 25 * time.Millisecond
	pieceSize   = 4 << 10
	// failedFraction is the part of the requests that a replica fails in its trouble.
	failedFraction = 0.5
)

// requestID is the header field with the number that a client gives its request.
const requestID = "X-Txn"

// serveReplica serves requests until the process ends. It says on standard output where it listens, and then each request
// that it has run. Each SIGUSR1 begins or ends a trouble in which it quickly fails a part of its requests.
func serveReplica(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, id, err)
		os.Exit(exitCannotRun)
	}
	var failing atomic.Bool
	switches := make(chan os.Signal, 1)
	signal.Notify(switches, syscall.SIGUSR1)
	go func() {
		for range switches {
			failing.Store(!failing.Load())
		}
	}()
	fmt.Println(listener.Addr())
	http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() && rand.Float64() < failedFraction {
			failAtOnce(w, r)
			return
		}
		io.Copy(io.Discard, r.Body)
		time.Sleep(serviceTime)
		fmt.Printf("ran %s %s\n", r.Header.Get(requestID), r.URL.Path)
		if r.Method != http.MethodGet {
			io.WriteString(w, "done\n")
			return
		}
		piece := []byte(strings.Repeat("s", pieceSize))
		w.Header().Set("Content-Length", fmt.Sprint(pieces*pieceSize))
		for range pieces {
			if _, err := w.Write(piece); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(pieceTime)
		}
	}))
}

// failAtOnce answers a request with an error before its body is read, and then reads the body, so that the connection can be
// used for the next request.
func failAtOnce(w http.ResponseWriter, r *http.Request) {
	http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Content-Length", "7")
	w.WriteHeader(http.StatusInternalServerError)
	io.WriteString(w, "broken\n")
	w.(http.Flusher).Flush()
	io.Copy(io.Discard, r.Body)
}

// collectRuns copies what a replica says that it has run to the record.
func (c *caseRun) collectRuns(id string, output io.ReadCloser) {
	defer output.Close()
	for lines := bufio.NewScanner(output); lines.Scan(); {
		c.note("%s %s", id, lines.Text())
	}
}
