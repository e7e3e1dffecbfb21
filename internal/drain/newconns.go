package drain

import (
	"math"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

type (
	// newConns is what becomes of the connections that callers open while a listener stops.
	newConns string

	// blocker is a way to keep further connections out of the backlog, without an effect on those
	// that are in it or being opened.
	blocker struct {
		option   string
		set      func(fd int) error
		newConns newConns
	}

	// refusedOption is a socket option that the system does not allow.
	refusedOption struct {
		Option string `json:"option"`
		Error  string `json:"error"`
	}
)

const (
	newDropped  newConns = "dropped" // callers try again after 1 s, and are refused
	newRefused  newConns = "refused"
	newAccepted newConns = "accepted" // no way to block them is allowed
)

const (
	// flagsOffset is the offset of the flags in a TCP header, in bytes.
	flagsOffset = 13
	flagSYN     = 0x02
	// noInterface is the index of an interface that does not exist.
	noInterface = math.MaxInt32
)

// consequences is what callers see of a listener that stops without the socket filter.
var consequences = map[newConns]string{
	newRefused: "further connections are refused at once, none is reset",
	newAccepted: "further connections are accepted until none has come for " + handshakeTimeout.String() + ", for " +
		busyTimeout.String() + " at most; one that is being opened as the listener closes is reset, its request has not run",
}

// blockers are the ways to block further connections, the first choice first.
var blockers = []blocker{
	{option: "SO_ATTACH_FILTER", set: dropNew, newConns: newDropped},
	{option: "SO_BINDTOIFINDEX", set: refuseNew, newConns: newRefused},
}

// blockNew blocks further connections in the first way that the system allows, and returns what
// becomes of them.
func (l *listener) blockNew() newConns {
	outcome := newAccepted
	var refused []refusedOption
	for _, b := range blockers {
		err := l.control(func(fd int) error {
			return l.server.setOption(b.option, func() error { return b.set(fd) })
		})
		if err == nil {
			outcome = b.newConns
			break
		}
		refused = append(refused, refusedOption{Option: b.option, Error: errors.UnwrapAll(err).Error()})
	}
	if len(refused) == 0 {
		return outcome
	}
	write := l.server.log.Info
	if outcome == newAccepted {
		write = l.server.log.Warn
	}
	write("daemon: listener stops without a filter", zap.Stringer("address", l.Addr()), zap.Any("options_refused", refused),
		zap.String("new_connections", string(outcome)), zap.String("consequence", consequences[outcome]))
	return outcome
}

// dropNew drops the SYN packets of further connections. The callers retransmit them and are
// refused then, as the listener is closed by that time.
func dropNew(fd int) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: flagSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: 1 << 16},
	})
	if err != nil {
		return errors.Wrap(err, "drain.dropNew")
	}
	filter := make([]unix.SockFilter, len(program))
	for n, i := range program {
		filter[n] = unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K}
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// refuseNew binds the listener to an interface that no packet comes from. The kernel looks up
// the listener for SYN packets only; connections that are being opened are found by themselves.
func refuseNew(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
}
