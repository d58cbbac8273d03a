package configserver

import (
	"os"
	"strings"
	"testing"

	"lilacbend/internal/operator"
)

// uncommented takes the comment signs from the lines after a marker.
func uncommented(t *testing.T, file, marker string) []byte {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	before, after, found := strings.Cut(string(raw), marker)
	if !found {
		t.Fatalf("no %s in %s", marker, file)
	}
	return []byte(before + strings.ReplaceAll(strings.TrimPrefix(marker, "# ")+after, "\n# ", "\n"))
}

// The files under deploy can be used as they are, and so can what stands in them as a comment.
func TestFilesUnderDeployAreUsable(t *testing.T) {
	const file, operatorFile = "../../deploy/configserver.yaml", "../../deploy/operator.yaml"
	o, err := ReadFile(file)
	if err != nil || o.Folder == "" || o.StateFile == "" || o.MaxConnections != DefaultMaxConnections || o.MaxCopies != DefaultMaxCopies || o.PollInterval != DefaultPollInterval {
		t.Errorf("%+v %v", o, err)
	}
	follower := strings.Replace(string(uncommented(t, file, "# follow:")), "folder:", "# folder:", 1)
	if o, err = ParseFile(file, []byte(follower)); err != nil || len(o.Follow) != 2 {
		t.Errorf("%+v %v", o, err)
	}
	book, err := operator.Parse(operatorFile, uncommented(t, operatorFile, "# configuration:"))
	if err != nil || !book.Configuration.On() || len(book.Configuration.Servers) != 2 {
		t.Errorf("%+v %v", book, err)
	}
	if book, err = operator.Read(operatorFile); err != nil || book.Configuration.On() {
		t.Errorf("%+v %v", book, err)
	}
}
