package soak

import (
	"io"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one run of an entry's program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startEntry runs program as an entry with the given settings.
func startEntry(program, settings string, metricsPort int, logTo io.Writer) (*process, error) {
	cmd := exec.Command(program, "serve", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Args = append(cmd.Args, "--settings-file", settings)
	cmd.Stdout = logTo
	cmd.Stderr = logTo
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start the entry")
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// end awaits the end of the process for a while, and then kills it. It reports
// whether it had to.
func (p *process) end(limit time.Duration) (killed bool) {
	select {
	case <-p.done:
		return false
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-p.done
		return true
	}
}
