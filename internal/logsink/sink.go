// Package logsink writes log lines to an output without ever blocking the
// caller. Lines that the output does not accept in time are dropped and
// counted, and the count is logged.
package logsink

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Config configures a Sink.
	Config struct {
		Out io.Writer
		// QueueSize is the number of lines that each of the two queues holds; 0 selects the
		// default.
		QueueSize int
	}

	// Sink is a zapcore.WriteSyncer that writes in the background.
	Sink struct {
		out       *bufio.Writer
		lines     chan []byte
		important chan []byte
		// dropped counts all dropped lines, reported those that have been logged.
		dropped  atomic.Int64
		reported int64
		closing  chan struct{}
		once     sync.Once
		done     chan struct{}
	}
)

const (
	// defaultQueueSize limits the queued lines to about 1 MB.
	defaultQueueSize = 4096
	outBufferSize    = 32 << 10 // bytes
	// flushDelay is the longest time that a line waits to be written together with
	// others, as each write costs a system call.
	flushDelay = 20 * time.Millisecond
)

// importantPatterns mark the lines with a queue of their own, so that other lines
// don't displace them when the output is slow: those of failed and refused
// requests, and all above level info.
var importantPatterns = [][]byte{
	[]byte(`"level":"warn"`), []byte(`"level":"error"`), []byte(`"msg":"request: refused"`),
	[]byte(`"state":"failed"`), []byte(`"kind":"failed"`),
}

// infoPrefix begins a line of level info, as the encoder writes it. Such a line is important only if
// it holds one of infoMarks, so that most lines need no search for each pattern.
var (
	infoPrefix = []byte(`{"level":"info",`)
	infoMarks  = [][]byte{[]byte(`: refused"`), []byte(`:"failed"`)}
)

// New starts a sink; Close stops it.
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

// Write queues a line; it never fails and never blocks.
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

// Sync implements zapcore.WriteSyncer. It does nothing, as lines are written in
// the background.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink.
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

// put writes a line and, if lines were dropped since the last report, their number.
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

// write and flush ignore errors, as there is no other output to report them to.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

func (s *Sink) flush() { _ = s.out.Flush() }

func isImportant(line []byte) bool {
	if bytes.HasPrefix(line, infoPrefix) && !containsAny(line[len(infoPrefix):], infoMarks) {
		return false
	}
	return containsAny(line, importantPatterns)
}

func containsAny(line []byte, patterns [][]byte) bool {
	return slices.ContainsFunc(patterns, func(pattern []byte) bool { return bytes.Contains(line, pattern) })
}
