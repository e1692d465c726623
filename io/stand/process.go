package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a stand-in or an entry that runs as a separate process.
type Process struct {
	cmd *exec.Cmd
	// Address holds the listen address that the process reported, or several
	// separated by spaces.
	Address string
	done    chan error
}

// startTimeout limits the time until a process reports its address.
const startTimeout = 10 * time.Second

// startProcess starts the current executable with args and waits until it reports
// its listen address. The process is killed when the thread that started it exits.
func startProcess(logWriter io.Writer, args ...string) (*Process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(executable, args...)
	cmd.Stderr = logWriter
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	p := &Process{cmd: cmd, done: make(chan error, 1)}
	line := make(chan string, 1)
	go func() {
		text, _ := bufio.NewReader(out).ReadString('\n')
		line <- text
		_, _ = io.Copy(io.Discard, out)
		p.done <- cmd.Wait()
	}()
	select {
	case text := <-line:
		p.Address = strings.TrimSpace(strings.TrimPrefix(text, listeningPrefix))
	case <-time.After(startTimeout):
	}
	if p.Address == "" {
		p.Kill()
		return nil, errors.Newf("%s: process did not report its listen address", strings.Join(args, " "))
	}
	return p, nil
}

// listeningPrefix is the prefix of the line in which a process reports its address.
const listeningPrefix = "listening on "

// ListeningLine returns the line that a process prints to report its address.
func ListeningLine(address string) string {
	return listeningPrefix + address
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Pid returns the process ID.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}

// Kill sends SIGKILL to the process.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
}

// Wait waits for the process to exit and returns its error, or another error if it
// still runs after limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(limit):
		return errors.New("process is still running")
	}
}

// setBehaviour posts a behaviour to the control path of a stand-in.
func setBehaviour(address string, behaviour any) error {
	body, err := json.Marshal(behaviour)
	if err != nil {
		return err
	}
	resp, err := controlClient.Post("http://"+address+ControlPathPrefix+"behave", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("set behaviour of %s: unexpected status %d", address, resp.StatusCode)
	}
	return nil
}

// fetchControl reads the JSON value at a control path of a stand-in.
func fetchControl(address, name string, into any) error {
	resp, err := controlClient.Get("http://" + address + ControlPathPrefix + name)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

var controlClient = &http.Client{Timeout: 3 * time.Second}
