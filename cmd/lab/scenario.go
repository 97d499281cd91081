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
	maxScenarios = 1000 // per command
	maxJobs      = 64
	maxWhyBytes  = 120
	maxLineBytes = 1 << 20 // longest line of a results file
)

// scenarioOptions are the flags that the scenario commands share.
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
	root := &cobra.Command{Use: "days", Short: "generate fault scenarios for an external benchmark program, which calls them days, and run them"}
	root.AddCommand(listKinds(), makeScenarios(), playScenarios(), printTable())
	return root
}

func (o *scenarioOptions) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&o.benchProgram, "bench", "", "path of the benchmark program")
	f.StringSliceVar(&o.learnSites, "learn", nil, "further site files, which show whether kinds that SITE has no scenario of are planned work")
	f.StringVar(&o.requestsFile, "wishes", "", "file with requested entries, one scenario per line: KIND field=value ... + KIND ... + closing=KIND; by default, each kind by itself, then two or three combined")
	f.IntVar(&o.kindCount, "mix", 0, "minimum number of kinds per scenario (0: determined by seed or request)")
	f.Uint64Var(&o.firstSeed, "from", 1, "seed of the first scenario")
	f.IntVar(&o.count, "days", 1, "number of scenarios to generate, at most 1000")
	f.StringVar(&o.outDir, "out", "", "directory for scenario files, benchmark output and results; should be outside the source tree")
	lo.Must0(c.MarkFlagRequired("bench"))
}

// newGenerator runs the benchmark program to list the kinds of a site, and reads the site file and those to learn from.
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

// generatedScenarios are scenarios and, by the same index, the paths of their files.
type generatedScenarios struct {
	generator *scenario.Generator
	scenarios []scenario.Scenario
	paths     []string
}

// generate generates the scenarios and writes their files into outDir. If this fails midway, it returns an error together with the
// scenarios written so far.
func (o *scenarioOptions) generate(site string) (*generatedScenarios, error) {
	if o.count < 1 || o.count > maxScenarios {
		return nil, fmt.Errorf("--days %d is not in the range 1 to %d", o.count, maxScenarios)
	}
	if o.outDir == "" {
		return nil, errors.New("--out is required: a directory for the scenario files")
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

// readRequests reads the file of requests. It returns nil if none is set.
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
		Short: "print the kinds, variants and fields of a site, and the number of seeds with a single kind",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			g, err := o.newGenerator(args[0])
			if err != nil {
				return err
			}
			for _, k := range g.Kinds {
				fmt.Printf("%-20s %-6s %s\n", k.Name, lo.Ternary(g.Planned[k.Name], "plan", "faults"), strings.Join(g.Variants(k), " | "))
			}
			fmt.Printf("fields: %s\nclosing: %s (%s)\n%d seeds have a single kind with one variant\n", strings.Join(g.Fields, " "), strings.Join(g.Closings, " "),
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
		Short: "generate scenario files and print their paths",
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

// scenarioRun runs scenarios on the benchmark, up to jobs at once.
type scenarioRun struct {
	scenarioOptions
	*generatedScenarios
	site           string
	jobs           int
	why            string
	log            string
	noCPU          bool
	resultsEncoder *json.Encoder // writes to results.jsonl

	mu      sync.Mutex // guards results, errs and resultsEncoder
	results []scenario.RunResult
	errs    []error
}

func playScenarios() *cobra.Command {
	var run scenarioRun
	c := &cobra.Command{
		Use:   "play SITE",
		Short: "generate scenarios, run them from the root of the repository, print results and a table; results are appended to results.jsonl in --out",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			run.site = args[0]
			return run.play()
		},
	}
	run.flags(c)
	f := c.Flags()
	f.IntVar(&run.jobs, "jobs", 1, "number of scenarios to run at once")
	f.StringVar(&run.why, "why", "", "one sentence for the journal: the reason for the run")
	f.StringVar(&run.log, "log", "", "machines whose output is included in the text file of a scenario")
	f.BoolVar(&run.noCPU, "no-cpu", false, "do not measure CPU time")
	lo.Must0(c.MarkFlagRequired("why"))
	return c
}

// play generates the scenarios, runs them and prints the table.
func (run *scenarioRun) play() (err error) {
	if run.jobs < 1 || run.jobs > maxJobs {
		return fmt.Errorf("--jobs %d is not in the range 1 to %d", run.jobs, maxJobs)
	}
	if run.why == "" || len(run.why) >= maxWhyBytes || strings.Contains(run.why, "\n") {
		return fmt.Errorf("--why must be one non-empty line of less than %d bytes", maxWhyBytes)
	}
	if run.generatedScenarios, err = run.generate(run.site); err != nil {
		return err
	}
	// Build once in advance, so that concurrent runs don't.
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
	fmt.Printf("%d scenarios run, %d of them with a rule violation or a fault, %d not run\n",
		len(run.results), broken, len(run.scenarios)-len(run.results))
	return errors.Join(run.errs...)
}

// playAll runs all scenarios with the configured number of workers and returns when all are done.
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

// playOne runs scenario i and records and prints its result or error.
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
		fmt.Println("NOT RUN", run.scenarios[i].Name, err)
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

// playScenario runs the benchmark program for one scenario, writes its output to the file out and parses the journal entry that the
// output names. It also returns the output. The exit status only matters if there is no journal entry.
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
		return result, "", fmt.Errorf("journal entry %s: found %d files, expected one", id[1], len(found))
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
		Short: "print failed runs and the table by site and kind from results files",
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

// readResults reads a results file, which has one JSON object per line.
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
