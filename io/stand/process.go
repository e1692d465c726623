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

// Process is a stand-in or an entry that runs as a process of its own.
type Process struct {
	cmd *exec.Cmd
	// Address is the first address that the process listens on.
	Address string
	done    chan error
}

// startTimeout bounds the start of a process.
const startTimeout = 10 * time.Second

// startProcess runs this very program with args, and waits until it tells the
// address that it listens on.
func startProcess(logTo io.Writer, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, args...)
	cmd.Stderr = logTo
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
		p.Address = strings.TrimSpace(strings.TrimPrefix(text, listeningOn))
	case <-time.After(startTimeout):
	}
	if p.Address == "" {
		p.Kill()
		return nil, errors.Newf("%s didn't say where it listens", strings.Join(args, " "))
	}
	return p, nil
}

// listeningOn begins the line by which a process tells its address.
const listeningOn = "listening on "

// ListeningLine returns the line by which a process tells its address.
func ListeningLine(address string) string {
	return listeningOn + address
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Pid returns the id of the process.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
}

// Wait waits for the end of the process.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(limit):
		return errors.New("the process goes on")
	}
}

// control tells a stand-in how to behave.
func control(address string, behaviour any) error {
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
		return errors.Newf("%s answered %d", address, resp.StatusCode)
	}
	return nil
}

// fetch reads what a stand-in has seen.
func fetch(address, what string, into any) error {
	resp, err := controlClient.Get("http://" + address + ControlPathPrefix + what)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

var controlClient = &http.Client{Timeout: 3 * time.Second}
