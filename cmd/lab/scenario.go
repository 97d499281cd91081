package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"portflow/internal/lab/scenario"
)

const (
	maxScenarios = 1000 // of one command
	maxJobs      = 64
	maxWhyBytes  = 120
	maxLineBytes = 1 << 20 // of a file of results
)

// scenarioOptions is what the commands of scenarios share: from what to draw, and how many.
type scenarioOptions struct {
	benchProgram string
	learnSites   []string
	requestsFile string
	kindCount    int
	firstSeed    uint64
	count        int
	outDir       string
}

func scenarioCommands() *cobra.Command {
	root := &cobra.Command{Use: "days", Short: "scenarios for the users' bench, drawn by seed; the bench calls them days"}
	root.AddCommand(listKinds(), makeScenarios(), playScenarios(), printTable())
	return root
}

func (o *scenarioOptions) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&o.benchProgram, "bench", "", "the bench's program")
	f.StringSliceVar(&o.learnSites, "learn", nil, "site files beside SITE, to learn what is planned work")
	f.StringVar(&o.requestsFile, "wishes", "", "a file of requests, one a line: KIND field=value ... + KIND ... + closing=KIND; without it each kind alone, then pairs and triples")
	f.IntVar(&o.kindCount, "mix", 0, "kinds a day at least (0: as seed or request say)")
	f.Uint64Var(&o.firstSeed, "from", 1, "the first seed")
	f.IntVar(&o.count, "days", 1, "days, 1000 at most")
	f.StringVar(&o.outDir, "out", "", "a folder for day files, outputs and results; outside the sources")
	lo.Must0(c.MarkFlagRequired("bench"))
}

// newGenerator reads what the bench lists for a site, and the site file.
func (o *scenarioOptions) newGenerator(site string) (*scenario.Generator, error) {
	listed, err := exec.Command(o.benchProgram, "kinds", site).Output()
	if err != nil {
		return nil, fmt.Errorf("%s kinds: %w", filepath.Base(o.benchProgram), err)
	}
	kinds, err := scenario.ParseCatalog(string(listed))
	if err != nil {
		return nil, err
	}
	parsed, err := readSite(site)
	if err != nil {
		return nil, err
	}
	for _, path := range o.learnSites {
		other, err := readSite(path)
		if err != nil {
			return nil, err
		}
		parsed.LearnFrom(other)
	}
	return scenario.NewGenerator(kinds, parsed)
}

func readSite(path string) (scenario.Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return scenario.Site{}, err
	}
	s, err := scenario.ParseSite(string(text))
	if err != nil {
		return s, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return s, nil
}

// generatedScenarios are scenarios and their files.
type generatedScenarios struct {
	generator *scenario.Generator
	scenarios []scenario.Scenario
	paths     []string
}

// generate draws the scenarios and writes their files into the folder.
func (o *scenarioOptions) generate(site string) (*generatedScenarios, error) {
	if o.count < 1 || o.count > maxScenarios {
		return nil, fmt.Errorf("--days %d: 1 to %d", o.count, maxScenarios)
	}
	if o.outDir == "" {
		return nil, errors.New("--out: a folder is wanted")
	}
	g, err := o.newGenerator(site)
	if err != nil {
		return nil, err
	}
	requests, err := o.readRequests(g)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.outDir, 0o755); err != nil {
		return nil, err
	}
	all := &generatedScenarios{generator: g}
	for i := range o.count {
		generated, err := g.Generate(o.firstSeed+uint64(i), o.kindCount, requests)
		if err != nil {
			return all, err
		}
		path := filepath.Join(o.outDir, g.Name+"-"+generated.Name+".toml")
		if err := os.WriteFile(path, []byte(generated.TOML()), 0o644); err != nil {
			return all, err
		}
		all.scenarios = append(all.scenarios, generated)
		all.paths = append(all.paths, path)
	}
	return all, nil
}

// readRequests reads the file of requests, if there is one.
func (o *scenarioOptions) readRequests(g *scenario.Generator) ([]scenario.Request, error) {
	if o.requestsFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(o.requestsFile)
	if err != nil {
		return nil, err
	}
	requests, err := g.ParseRequests(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(o.requestsFile), err)
	}
	return requests, nil
}

func listKinds() *cobra.Command {
	var o scenarioOptions
	c := &cobra.Command{
		Use:   "kinds SITE",
		Short: "what was read of a site: kinds, variants, fields, and how many seeds play each alone",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			g, err := o.newGenerator(args[0])
			if err != nil {
				return err
			}
			for _, k := range g.Kinds {
				fmt.Printf("%-20s %-6s %s\n", k.Name, lo.Ternary(g.Planned[k.Name], "plan", "faults"), strings.Join(g.Variants(k), " | "))
			}
			fmt.Printf("fields: %s\nclosing: %s (%s)\n%d seeds play each alone\n", strings.Join(g.Fields, " "), strings.Join(g.Closings, " "),
				strings.Join(g.ClosingVariants, " "), g.SingleKinds())
			return nil
		},
	}
	o.flags(c)
	return c
}

func makeScenarios() *cobra.Command {
	var o scenarioOptions
	c := &cobra.Command{
		Use:   "make SITE",
		Short: "write day files",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			all, err := o.generate(args[0])
			if all != nil {
				for _, path := range all.paths {
					fmt.Println(path)
				}
			}
			return err
		},
	}
	o.flags(c)
	return c
}

// scenarioRun plays scenarios on the bench, several at once.
type scenarioRun struct {
	scenarioOptions
	*generatedScenarios
	site           string
	jobs           int
	why            string
	log            string
	noCPU          bool
	resultsEncoder *json.Encoder // of results.jsonl

	mu      sync.Mutex // guards what follows, and journal
	results []scenario.RunResult
	errs    []error
}

func playScenarios() *cobra.Command {
	var run scenarioRun
	c := &cobra.Command{
		Use:   "play SITE",
		Short: "make days and play them in the repository, a line a day and a table; results are added to results.jsonl in --out",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			run.site = args[0]
			return run.play()
		},
	}
	run.flags(c)
	f := c.Flags()
	f.IntVar(&run.jobs, "jobs", 1, "days at once")
	f.StringVar(&run.why, "why", "", "a sentence for the journal")
	f.StringVar(&run.log, "log", "", "machines whose output goes into the day's text file")
	f.BoolVar(&run.noCPU, "no-cpu", false, "processor time isn't counted")
	lo.Must0(c.MarkFlagRequired("why"))
	return c
}

// play makes the scenarios, plays them and prints the table.
func (run *scenarioRun) play() (err error) {
	if run.jobs < 1 || run.jobs > maxJobs {
		return fmt.Errorf("--jobs %d: 1 to %d", run.jobs, maxJobs)
	}
	if run.why == "" || len(run.why) >= maxWhyBytes || strings.Contains(run.why, "\n") {
		return fmt.Errorf("--why: one plain sentence under %d characters", maxWhyBytes)
	}
	if run.generatedScenarios, err = run.generate(run.site); err != nil {
		return err
	}
	// built once, so that scenarios that run at once don't build
	if out, err := exec.Command(run.benchProgram, "build").CombinedOutput(); err != nil {
		return fmt.Errorf("%s build: %w\n%s", filepath.Base(run.benchProgram), err, out)
	}
	file, err := os.OpenFile(filepath.Join(run.outDir, "results.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	run.resultsEncoder = json.NewEncoder(file)
	run.playAll()
	scenario.FormatTable(os.Stdout, run.results)
	broken := lo.CountBy(run.results, scenario.RunResult.Failed)
	fmt.Printf("%d days played, %d of them with a broken rule or a fault, %d not played\n",
		len(run.results), broken, len(run.scenarios)-len(run.results))
	return errors.Join(run.errs...)
}

// playAll plays all scenarios, as many at once as there are jobs.
func (run *scenarioRun) playAll() {
	pending := make(chan int, len(run.scenarios))
	for i := range run.scenarios {
		pending <- i
	}
	close(pending)
	var workers sync.WaitGroup
	for range min(run.jobs, len(run.scenarios)) {
		workers.Go(func() {
			for i := range pending {
				run.playOne(i)
			}
		})
	}
	workers.Wait()
}

// playOne plays one scenario and records its result.
func (run *scenarioRun) playOne(i int) {
	args := []string{"run", run.site, run.paths[i], "--jobs", "1", "--why", run.why}
	if run.log != "" {
		args = append(args, "--log", run.log)
	}
	if run.noCPU {
		args = append(args, "--no-cpu")
	}
	result, printed, err := playScenario(run.benchProgram, args, strings.TrimSuffix(run.paths[i], ".toml")+".txt")
	run.mu.Lock()
	defer run.mu.Unlock()
	if err != nil {
		run.errs = append(run.errs, fmt.Errorf("%s: %w", run.scenarios[i].Name, err))
		fmt.Println("NOT PLAYED", run.scenarios[i].Name, err)
		return
	}
	closing := run.scenarios[i].Closing
	result.NotStarted = run.generator.NotStarted(printed)
	result.Closing = strings.TrimSpace(closing.Kind() + " " + strings.Join(closing.Variant(), " "))
	run.results = append(run.results, result)
	fmt.Println(result)
	run.errs = append(run.errs, run.resultsEncoder.Encode(result))
}

var journalEntryID = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]{8})$`)

// playScenario plays one scenario, writes what the bench prints into a file and reads its journal entry.
func playScenario(bench string, args []string, out string) (result scenario.RunResult, text string, err error) {
	var printed bytes.Buffer
	cmd := exec.Command(bench, args...)
	cmd.Stdout, cmd.Stderr = &printed, &printed
	runErr := cmd.Run()
	if err := os.WriteFile(out, printed.Bytes(), 0o644); err != nil {
		return result, "", err
	}
	id := journalEntryID.FindSubmatch(printed.Bytes())
	if id == nil {
		lines := strings.Split(strings.TrimSpace(printed.String()), "\n")
		return result, "", fmt.Errorf("no journal entry: %w", errors.Join(runErr, errors.New(lines[len(lines)-1])))
	}
	found, err := filepath.Glob("journal/*-" + string(id[1]) + ".json")
	if err != nil || len(found) != 1 {
		return result, "", fmt.Errorf("journal entry %s: %d files", id[1], len(found))
	}
	entry, err := os.ReadFile(found[0])
	if err != nil {
		return result, "", err
	}
	result, err = scenario.ParseRunResult(entry)
	return result, printed.String(), err
}

func printTable() *cobra.Command {
	return &cobra.Command{
		Use:   "table RESULTS...",
		Short: "the table of days played before, by site and kind",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var all []scenario.RunResult
			for _, path := range args {
				results, err := readResults(path)
				if err != nil {
					return err
				}
				all = append(all, results...)
			}
			slices.SortStableFunc(all, func(a, b scenario.RunResult) int { return strings.Compare(a.Site, b.Site) })
			for _, result := range all {
				if result.Failed() || !result.GatePassed {
					fmt.Println(result)
				}
			}
			scenario.FormatTable(os.Stdout, all)
			return nil
		},
	}
}

// readResults reads a file of results, one a line.
func readResults(path string) (results []scenario.RunResult, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var result scenario.RunResult
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", filepath.Base(path), n, err)
		}
		results = append(results, result)
	}
	return results, lines.Err()
}
