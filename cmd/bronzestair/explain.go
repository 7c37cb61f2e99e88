package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/pool"
	"bronzestair/core/settings"
	"bronzestair/platform"
)

const (
	// explainTimeout leaves time for a redirection to the pool's owner.
	explainTimeout = 6 * time.Second
	// maxExplanationBytes limits the size of an answer. A job has at most 256 steps.
	maxExplanationBytes = 8 << 20
)

// explainRequest is what the command asks for.
type explainRequest struct {
	address, host, path, organisation, jobFile string
	asJSON                                     bool
}

func explainCommand() *ffcli.Command {
	var r explainRequest
	flags, options := newFlags("explain")
	flags.StringVar(&r.address, "address", "127.0.0.1:9101", "metrics address of any entry")
	flags.StringVar(&r.host, "host", "", "host name of the queue")
	flags.StringVar(&r.path, "path", "/", "path of the queue")
	flags.StringVar(&r.organisation, "organisation", "", "organisation of the caller, empty for a public queue")
	flags.StringVar(&r.jobFile, "job", "-", "file with the body of a job submission, - for the standard input")
	flags.BoolVar(&r.asJSON, "json", false, "print the answer as JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "bronzestair explain -address HOST:PORT -host H -path /prefix/ -job FILE [-organisation O] [-json]",
		ShortHelp:  "Explains where a job would run now, and why not elsewhere.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, _ []string) error {
			if r.host == "" {
				fmt.Fprintln(os.Stderr, "bronzestair explain: -host is missing")
				return flag.ErrHelp
			}
			return explain(ctx, os.Stdout, &r)
		},
	}
}

// explain asks an entry and prints the answer.
func explain(ctx context.Context, out io.Writer, r *explainRequest) error {
	body, err := readJobFile(r.jobFile)
	if err != nil {
		return err
	}
	answer, err := askEntry(ctx, r, body)
	if err != nil {
		return err
	}
	if r.asJSON {
		_, err := out.Write(answer)
		return err
	}
	var e pool.Explanation
	if err := json.Unmarshal(answer, &e); err != nil {
		return merry.Prepend(err, "answer is not an explanation")
	}
	return printExplanation(out, &e)
}

func readJobFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// askEntry returns the answer of an entry. The client follows the redirection to the entry that
// owns the pool.
func askEntry(ctx context.Context, r *explainRequest, body []byte) ([]byte, error) {
	address, err := settings.ParseAddress(r.address)
	if err != nil {
		return nil, err
	}
	parameters := url.Values{platform.ExplainHost: {r.host}, platform.ExplainQueuePath: {r.path}}
	if r.organisation != "" {
		parameters.Set(platform.ExplainOrganisation, r.organisation)
	}
	target := url.URL{Scheme: "http", Host: address.String(), Path: platform.ExplainPath, RawQuery: parameters.Encode()}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Prependf(err, "entry at %s", address)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, merry.Prependf(err, "entry at %s", response.Request.URL.Host)
	}
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("entry at %s answers %s: %s", response.Request.URL.Host, response.Status, strings.TrimSpace(string(answer)))
	}
	return answer, nil
}

// printExplanation prints a line for each step, and below it one for each obstacle elsewhere.
func printExplanation(out io.Writer, e *pool.Explanation) error {
	fmt.Fprintf(out, "pool %s\n", e.Pool)
	if !e.Ready {
		fmt.Fprintln(out, "The pool's owner is new: some runners have not answered yet.")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STEP\tTASKS\tSTART NOW\tON RUNNERS\tWAITS FOR")
	for i := range e.Steps {
		s := &e.Steps[i]
		fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%s\n", s.Step, s.Tasks, s.Placed, describeRunners(s.Runners), describeWait(s))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i := range e.Steps {
		for _, c := range e.Steps[i].Elsewhere {
			fmt.Fprintf(out, "step %d: not on %d runners: %s (%s)\n", e.Steps[i].Step, c.Runners, c.Obstacle, joinExamples(c))
		}
	}
	return nil
}

func describeRunners(portions []pool.RunnerPortion) string {
	if len(portions) == 0 {
		return "none"
	}
	texts := make([]string, 0, len(portions))
	for _, p := range portions {
		texts = append(texts, fmt.Sprintf("%s:%d", p.Runner, p.Tasks))
	}
	return strings.Join(texts, " ")
}

func describeWait(s *pool.StepExplanation) string {
	switch {
	case s.Waits != "" && len(s.After) > 0:
		return fmt.Sprintf("steps %v, %s", s.After, s.Waits)
	case s.Waits != "":
		return string(s.Waits)
	case len(s.After) > 0:
		return fmt.Sprintf("steps %v", s.After)
	case s.Placed < s.Tasks:
		return "a runner"
	}
	return "-"
}

func joinExamples(c pool.ObstacleCount) string {
	ids := make([]string, 0, len(c.Examples)+1)
	for _, id := range c.Examples {
		ids = append(ids, string(id))
	}
	if c.Runners > len(c.Examples) {
		ids = append(ids, "...")
	}
	return strings.Join(ids, ", ")
}
