// Command simadapter runs any number of controllers for the simulator. It reads batches of events from standard input and
// writes a reply to each batch to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"lilacbend/internal/simwire"
)

// inputBufferSize, in bytes, is larger than most batches.
const inputBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve replies to all batches of the input, until the input ends.
func serve(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, inputBufferSize)
	output := bufio.NewWriter(out)
	instances := newInstances()
	for {
		batch, err := simwire.ReadBatch(input)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		instances.handle(batch)
		err = writeFrame(output, instances.reply.Frame())
		if err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func writeFrame(output *bufio.Writer, frame []byte) error {
	_, err := output.Write(frame)
	if err != nil {
		return err
	}
	return output.Flush()
}
