package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a script writes what was sent, answered and run. It
// is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

// Printf writes a line that begins with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// Exit codes of a script.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case couldn't run
)

// Main runs a script: it calls run with a record and exits with the code that it
// returns, or with ExitNotRun after an error. Trouble is false if TROUBLE is 0.
func Main(run func(r *Record, trouble bool) (int, error)) {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	r, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.Printf("start, with the disruption: %v", trouble)
	code, err := run(r, trouble)
	if err != nil {
		r.Printf("the case could not run: %v", err)
		code = ExitNotRun
	}
	r.Printf("exit %d", code)
	os.Exit(code)
}
