package soak

import (
	"io"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a running or exited process of an entry.
type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

// gatewayFlag is the flag for the gateway to the upstreams. Releases before a141b31 have
// none, so that no fault cuts their entries off from the upstreams.
const gatewayFlag = "--upstream-gateway"

// hasGatewayFlag reports whether a program has gatewayFlag.
func hasGatewayFlag(binary string) (bool, error) {
	help, err := exec.Command(binary, "serve", "--help").Output()
	if err != nil {
		return false, errors.Wrap(err, "query the flags of the program")
	}
	return strings.Contains(string(help), gatewayFlag), nil
}

// startProcess starts an entry with the given settings file, and writes its output
// to log. The entry connects to upstreams through gateway, unless that is empty. The
// kernel kills the entry when this process dies.
func startProcess(binary, settingsPath string, metricsPort int, gateway string, log io.Writer) (*process, error) {
	cmd := exec.Command(binary, "serve", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Args = append(cmd.Args, "--settings-file", settingsPath)
	if gateway != "" {
		cmd.Args = append(cmd.Args, gatewayFlag, gateway)
	}
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start the entry process")
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

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitOrKill waits until the process exits, and kills it after the timeout. It
// reports whether it killed the process.
func (p *process) waitOrKill(timeout time.Duration) (killed bool) {
	select {
	case <-p.done:
		return false
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-p.done
		return true
	}
}
