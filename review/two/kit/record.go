package kit

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case could not run
)

// Record is the record.txt of a case. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates review/N/record.txt below the current folder, the repository's root.
func NewRecord(number string) (*Record, error) {
	f, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) { r.At(time.Now(), format, args...) }

// At writes a line about something that happened at the given time.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// Trouble reports whether the case runs with its disruption: unless TROUBLE is 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Limit is how long a case may run.
const Limit = 110 * time.Second

// Main runs a case and exits with its code. run gets the case's record. A case that takes
// longer than Limit could not run; its gateways end with it.
func Main(number string, run func(r *Record) (int, error)) {
	r, err := NewRecord(number)
	if err != nil {
		fmt.Println(err)
		os.Exit(CouldNot)
	}
	time.AfterFunc(Limit, func() {
		r.Say("the case took longer than %v", Limit)
		os.Exit(CouldNot)
	})
	code, err := run(r)
	if err != nil {
		r.Say("the case could not run: %v", err)
		code = CouldNot
	}
	r.Close()
	os.Exit(code)
}

// Body is the body of an ordinary response.
func Body(id string) string { return "done " + id }
