package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
)

// newFlowsCommand returns the flows command, whose subcommands print IPFIX records from files and from the network.
func newFlowsCommand() *cobra.Command {
	var asJSON bool
	var groupBy, network string
	var limit int
	enterprise := uint32(ipfix.Documentation)
	root := &cobra.Command{Use: "flows", Short: "read the flow records that routers export"}
	root.PersistentFlags().Uint32Var(&enterprise, "enterprise", enterprise, "private enterprise number of portflow's information elements")
	decode := &cobra.Command{Use: "decode FILE", Short: "print the records of a file of IPFIX messages (RFC 5655)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			records := newPrinter(c.OutOrStdout(), asJSON)
			if err := readFile(args[0], enterprise, records.print); err != nil {
				return commandError{errors.Join(err, records.close())}
			}
			return records.close()
		}}
	top := &cobra.Command{Use: "top FILE", Short: "print the carriers, bands, hosts or sides with the most octets in a file of IPFIX messages", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			grouping, known := groupings[groupBy]
			if !known {
				return fmt.Errorf("--by: %q is not carrier, band, host or side", groupBy)
			}
			sums := map[string]flow.Counts{}
			if err := readFile(args[0], enterprise, func(r ipfix.Read) {
				sum := sums[grouping(r)]
				sum.Add(r.Counts)
				sums[grouping(r)] = sum
			}); err != nil {
				return commandError{err}
			}
			return printRanked(c.OutOrStdout(), groupBy, sums, limit)
		}}
	top.Flags().StringVar(&groupBy, "by", "carrier", "carrier, band, host or side")
	top.Flags().IntVarP(&limit, "most", "n", 10, "maximum number of rows")
	listen := &cobra.Command{Use: "listen ADDRESS", Short: "listen on an address and print the records received", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			records := newPrinter(c.OutOrStdout(), asJSON)
			records.flush = true
			if err := listenForRecords(network, args[0], enterprise, records.print); err != nil {
				return commandError{err}
			}
			return nil
		}}
	listen.Flags().StringVar(&network, "network", "udp", "udp or tcp")
	for _, c := range []*cobra.Command{decode, listen} {
		c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line")
	}
	root.AddCommand(decode, top, listen)
	return root
}

var groupings = map[string]func(ipfix.Read) string{
	"carrier": func(r ipfix.Read) string { return r.CarrierName },
	"band":    func(r ipfix.Read) string { return r.BandName },
	"host":    func(r ipfix.Read) string { return r.Host },
	"side":    func(r ipfix.Read) string { return sideNames[r.Side&1] },
}

var sideNames = [2]string{"clients", "hosts"}

// readFile passes the flow records of a file of IPFIX messages to each. An error names the path and the offset of the message.
func readFile(path string, enterprise uint32, each func(ipfix.Read)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := readMessages(f, ipfix.NewDecoder(enterprise), each); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// readMessages decodes consecutive messages until the end of the input. It returns nil if the input ends between two messages.
func readMessages(in io.Reader, d *ipfix.Decoder, each func(ipfix.Read)) error {
	for offset, head := 0, make([]byte, 4); ; {
		if _, err := io.ReadFull(in, head); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("octet %d: %w", offset, err)
		}
		n, err := ipfix.Length(head)
		if err != nil {
			return fmt.Errorf("octet %d: %w", offset, err)
		}
		message := append(make([]byte, 0, n), head...)[:n]
		if _, err := io.ReadFull(in, message[4:]); err != nil {
			return fmt.Errorf("octet %d: message of %d octets: %w", offset, n, err)
		}
		if err := d.Message(message, func(data ipfix.Data) {
			if r, ok := d.Flow(data); ok {
				each(r)
			}
		}); err != nil {
			return fmt.Errorf("octet %d: %w", offset, err)
		}
		offset += n
	}
}

// listenForRecords passes the records received to each, one at a time, until listening fails. Malformed datagrams are ignored;
// a stream is closed at its first malformed message.
func listenForRecords(network, address string, enterprise uint32, each func(ipfix.Read)) error {
	if network == "udp" {
		listener, err := net.ListenPacket("udp", address)
		if err != nil {
			return err
		}
		defer listener.Close()
		d := ipfix.NewDecoder(enterprise)
		for buffer := make([]byte, 1<<16); ; {
			n, _, err := listener.ReadFrom(buffer)
			if err != nil {
				return err
			}
			d.Message(buffer[:n], func(x ipfix.Data) {
				if r, ok := d.Flow(x); ok {
					each(r)
				}
			})
		}
	}
	listener, err := net.Listen(network, address)
	if err != nil {
		return err
	}
	defer listener.Close()
	records := make(chan ipfix.Read)
	go func() {
		for r := range records {
			each(r)
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if err := readMessages(conn, ipfix.NewDecoder(enterprise), func(r ipfix.Read) { records <- r }); err != nil {
				fmt.Fprintln(os.Stderr, "portflow:", conn.RemoteAddr(), err)
			}
		}()
	}
}

// printer prints records as a table, or as JSON if table is nil.
type printer struct {
	out   io.Writer
	table *tabwriter.Writer
	flush bool // flush the table after each record
}

func newPrinter(out io.Writer, asJSON bool) *printer {
	p := &printer{out: out}
	if !asJSON {
		p.table = tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(p.table, "end\tside\tsource\tdestination\tcarrier\tband\thost\tcommands\tforward\treverse\treason\trecords")
	}
	return p
}

func (p *printer) print(r ipfix.Read) {
	if p.table == nil {
		json.NewEncoder(p.out).Encode(r)
		return
	}
	source, destination := "-", "-"
	if r.Source.IsValid() {
		source, destination = r.Source.String(), r.Destination.String()
	}
	fmt.Fprintf(p.table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", time.Unix(0, r.End).UTC().Format(time.RFC3339Nano), sideNames[r.Side&1],
		source, destination, r.CarrierName, r.BandName, r.Host, r.Commands, r.Forward, r.Reverse, r.Reason, r.Count)
	if p.flush {
		p.table.Flush()
	}
}

func (p *printer) close() error {
	if p.table == nil {
		return nil
	}
	return p.table.Flush()
}

// printRanked prints the sums by name in descending order of octets, at most limit rows. groupBy is the title of the name column.
func printRanked(out io.Writer, groupBy string, sums map[string]flow.Counts, limit int) error {
	type row struct {
		name string
		flow.Counts
	}
	var rows []row
	for name, c := range sums {
		rows = append(rows, row{cmp.Or(name, "-"), c})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.Forward+b.Reverse, a.Forward+a.Reverse), cmp.Compare(a.name, b.name))
	})
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tcommands\toctets\n", groupBy)
	for _, r := range rows[:min(len(rows), max(0, limit))] {
		fmt.Fprintf(table, "%s\t%d\t%d\n", r.name, r.Commands, r.Forward+r.Reverse)
	}
	return table.Flush()
}
