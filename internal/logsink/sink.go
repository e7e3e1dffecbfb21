// Package logsink brings log lines to an output without ever blocking the
// one who logs: lines that the output does not take in time are dropped and
// counted, and the count is logged.
package logsink

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Config configures a Sink.
	Config struct {
		Out io.Writer
		// QueueSize bounds the lines that wait; 0 takes the default.
		QueueSize int
	}

	// Sink is a zapcore.WriteSyncer.
	Sink struct {
		out       *bufio.Writer
		lines     chan []byte
		important chan []byte
		// dropped counts all dropped lines, reported those of which a line was
		// written.
		dropped  atomic.Int64
		reported int64
		closing  chan struct{}
		once     sync.Once
		done     chan struct{}
	}
)

const (
	// defaultQueueSize bounds what waits to about 1 MB.
	defaultQueueSize = 4096
	outBufferSize    = 32 << 10
	// flushDelay is the longest that a line waits for others before it is written:
	// one write for all that came meanwhile, as each write costs a system call.
	flushDelay = 20 * time.Millisecond
)

// importantPatterns are what lines contain that go before others when the output
// is slow: those of failed and refused requests, and all above info.
var importantPatterns = [][]byte{
	[]byte(`"level":"warn"`), []byte(`"level":"error"`), []byte(`"msg":"request: refused"`),
	[]byte(`"state":"failed"`), []byte(`"kind":"failed"`),
}

// New starts to write; Close ends it.
func (c Config) New() *Sink {
	if c.QueueSize == 0 {
		c.QueueSize = defaultQueueSize
	}
	s := &Sink{
		out: bufio.NewWriterSize(c.Out, outBufferSize), lines: make(chan []byte, c.QueueSize),
		important: make(chan []byte, c.QueueSize), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.run()
	}()
	return s
}

// Write takes a line; it never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	queue := s.lines
	if isImportant(line) {
		queue = s.important
	}
	select {
	case queue <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are on their way in any case.
func (s *Sink) Sync() error { return nil }

// Dropped counts the lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits and ends.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closing) })
	<-s.done
}

func (s *Sink) run() {
	flush := time.NewTimer(flushDelay)
	flush.Stop()
	waiting := false
	for {
		select {
		case line := <-s.important:
			s.put(line)
		case line := <-s.lines:
			s.put(line)
		case <-flush.C:
			s.flush()
			waiting = false
			continue
		case <-s.closing:
			s.drain()
			return
		}
		if !waiting {
			flush.Reset(flushDelay)
			waiting = true
		}
	}
}

// put writes a line, and how many were dropped before it.
func (s *Sink) put(line []byte) {
	s.write(line)
	if n := s.dropped.Load() - s.reported; n > 0 {
		s.reported += n
		s.write(fmt.Appendf(nil, `{"level":"warn","msg":"log: lines dropped","count":%d}`+"\n", n))
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.important:
			s.write(line)
		case line := <-s.lines:
			s.write(line)
		default:
			s.flush()
			return
		}
	}
}

// write and flush ignore errors: there is nobody left to tell.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

func (s *Sink) flush() { _ = s.out.Flush() }

func isImportant(line []byte) bool {
	for _, mark := range importantPatterns {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}
