package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/entry"
)

// operatorTimeout limits each HTTP request of the operators' tool.
const operatorTimeout = 15 * time.Second

// operatorFlags are the flags of the commands that use the operators' API.
type operatorFlags struct {
	Address string `name:"operators" help:"Address of an entry for operators." required:"" env:"MAGNOLIALEDGE_OPERATORS"`
	Token   string `help:"Bearer token of the operators." required:"" env:"MAGNOLIALEDGE_TOKEN"`
}

// request sends a request to the operators' API and returns the status and the body
// of the response.
func (f operatorFlags) request(method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+f.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+f.Token)
	req.Header.Set("Content-Type", "application/json")
	return doRequest(req)
}

// doRequest sends a request and returns the status and the body of the response.
func doRequest(req *http.Request) (int, []byte, error) {
	client := &http.Client{Timeout: operatorTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

type checkCommand struct {
	File string `arg:"" help:"Document to validate." type:"existingfile"`
}

// Run prints a summary of a valid document. For an invalid one it returns all
// validation errors.
func (c *checkCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	doc, err := vers.Parse(data)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: %d services, %d targets\n", c.File, len(doc.Services), countTargets(doc))
	return nil
}

func countTargets(doc magnolialedge.Document) int {
	n := 0
	for _, s := range doc.Services {
		n += len(s.Targets)
	}
	return n
}

type applyCommand struct {
	operatorFlags
	File         string `arg:"" help:"Document to submit." type:"existingfile"`
	BaseRevision int64  `name:"base" help:"Revision that the document is based on; the active revision if negative." default:"-1"`
	ChangeID     string `help:"ID of the change; repeat the ID to find out the result of an earlier submission." env:"MAGNOLIALEDGE_CHANGE_ID"`
	Author       string `help:"Name of the person who submits the document." env:"USER"`
}

// Run validates and submits the document, and prints the accepted revision.
func (c *applyCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := vers.Parse(data); err != nil {
		return err
	}
	if c.BaseRevision < 0 {
		if c.BaseRevision, err = c.activeRevision(); err != nil {
			return err
		}
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	return c.submit(data)
}

// activeRevision returns the configuration revision that is active at the entry.
func (c *applyCommand) activeRevision() (int64, error) {
	status, body, err := c.request(http.MethodGet, "/v1/config", nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("the entry responded with status %d: %s", status, body)
	}
	var v magnolialedge.DocumentVersion
	return v.Revision, json.Unmarshal(body, &v)
}

// submit submits the document. Its result is unknown after a connection error, so
// that error names the flags to repeat the submission with.
func (c *applyCommand) submit(data []byte) error {
	req := entry.ChangeRequest{BaseRevision: c.BaseRevision, ChangeID: c.ChangeID, Author: c.Author, Document: data}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	status, responseBody, err := c.request(http.MethodPost, "/v1/config", body)
	if err != nil {
		return errors.Wrapf(err, "change %s may have been accepted; apply again with the same --change-id and --base %d", c.ChangeID, c.BaseRevision)
	}
	var resp entry.ChangeResponse
	if err := json.Unmarshal(responseBody, &resp); err != nil {
		return errors.Newf("the entry responded with status %d: %s", status, responseBody)
	}
	if status != http.StatusOK {
		return changeError(c, resp)
	}
	fmt.Printf("accepted as revision %d (change %s)\n", resp.Revision, c.ChangeID)
	return nil
}

// changeError returns the error for a change that was not accepted.
func changeError(c *applyCommand, resp entry.ChangeResponse) error {
	if len(resp.ValidationErrors) > 0 {
		return resp.ValidationErrors
	}
	if resp.Kind == magnolialedge.KindPending {
		return errors.Newf("pending: %s\napply again with --change-id %s --base %d", resp.Detail, c.ChangeID, c.BaseRevision)
	}
	return errors.Newf("refused: %s", resp.Detail)
}

type resolveCommand struct {
	Service string `arg:"" help:"Name of the service to resolve."`
	Address string `name:"entry" help:"Address of an entry for callers." required:"" env:"MAGNOLIALEDGE_CALLERS"`
}

// Run prints the resolve response of the entry.
func (c *resolveCommand) Run() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Address+"/v1/resolve?service="+url.QueryEscape(c.Service), nil)
	if err != nil {
		return err
	}
	return printResponse(doRequest(req))
}

type dumpCommand struct {
	operatorFlags
}

// Run prints the state of the entry as JSON.
func (c *dumpCommand) Run() error {
	return printResponse(c.request(http.MethodGet, "/dump", nil))
}

// printResponse prints the body of a response with status 200, and returns an error
// for any other.
func printResponse(status int, body []byte, err error) error {
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("the entry responded with status %d: %s", status, body)
	}
	fmt.Println(string(bytes.TrimSpace(body)))
	return nil
}
